Feature: The list of endpoints and those who lend it

  Scenario: An endpoint that leaves is told to the peers once
    Given a fleet feed that has listed e1 and e2
    When the entry of e1 says that it is leaving, twice
    Then the peers are told once that e1 is leaving
    And only e2 takes work

  Scenario: An endpoint whose entry is gone is told to the peers
    Given a fleet feed that has listed e1 and e2
    When the entry of e1 goes
    Then the peers are told once that e1 is gone
    And only e2 takes work

  Scenario: What a peer saw leave gets no work here either
    Given a fleet feed that has listed e1 and e2
    When a peer tells that e1 is leaving
    Then only e2 takes work

  Scenario: A gone endpoint that is listed again takes work again
    Given a fleet feed that has listed e1 and e2
    When a peer tells that e1 is gone
    Then only e2 takes work
    When the list is read again
    Then e1 and e2 take work

  Scenario: What a peer saw go is not used while the own list is behind
    Given a fleet feed that has listed e1 and e2
    When a peer tells that e1 is gone
    And another entry changes
    And 5 seconds go by at the feed
    Then only e2 takes work

  Scenario: What a peer saw go is not used while its entry is only kept
    Given a fleet feed that has listed e1 and e2
    When the store has been away and the entry of e1 goes
    Then e1 and e2 take work
    When a peer tells that e1 is gone
    And another entry changes
    Then only e2 takes work

  Scenario: A kept entry is dropped well before its endpoint must be left
    Given a fleet feed that has listed e1 and e2
    When the store has been away and the entry of e1 goes
    And 1.75 seconds go by at the feed
    Then only e2 takes work

  Scenario: An instance that the store turns away borrows the list
    Given a fleet feed that has listed e1 and e2
    And an instance that the store turns away
    When that instance asks its peer
    Then it knows e1 and e2
    And it does not ask again
