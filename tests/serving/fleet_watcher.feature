Feature: Following the list of endpoints and copying it from a peer

  Scenario: An endpoint that leaves is told to the peers once
    Given a fleet watcher that has listed e1 and e2
    When the entry of e1 says that it is leaving, twice
    Then it is published once that e1 is leaving
    And only e2 accepts requests

  Scenario: An endpoint whose entry is gone is told to the peers
    Given a fleet watcher that has listed e1 and e2
    When the entry of e1 is deleted
    Then it is published once that e1 is gone
    And only e2 accepts requests

  Scenario: What a peer saw leave gets no work here either
    Given a fleet watcher that has listed e1 and e2
    When a peer publishes that e1 is leaving
    Then only e2 accepts requests

  Scenario: A gone endpoint that is listed again takes work again
    Given a fleet watcher that has listed e1 and e2
    When a peer publishes that e1 is gone
    Then only e2 accepts requests
    When the list is read again
    Then e1 and e2 accept requests

  Scenario: What a peer saw go is not used while the own list is behind
    Given a fleet watcher that has listed e1 and e2
    When a peer publishes that e1 is gone
    And another entry changes
    And 5 seconds pass at the fleet watcher
    Then only e2 accepts requests

  Scenario: What a peer saw go is not used while its entry is only kept
    Given a fleet watcher that has listed e1 and e2
    When the store returns from an outage and the entry of e1 is deleted
    Then e1 and e2 accept requests
    When a peer publishes that e1 is gone
    And another entry changes
    Then only e2 accepts requests

  Scenario: A kept entry is dropped well before its endpoint must be left
    Given a fleet watcher that has listed e1 and e2
    When the store returns from an outage and the entry of e1 is deleted
    And 1.75 seconds pass at the fleet watcher
    Then only e2 accepts requests

  Scenario: An instance that the store turns away borrows the list
    Given a fleet watcher that has listed e1 and e2
    And an instance that cannot read the store
    When that instance calls its peer
    Then it knows e1 and e2
    And it does not call its peer again

  # Guards against instances that do not learn, or learn too late from the
  # logs, why an endpoint gets few requests.
  Scenario: It is logged once when an endpoint is known as cold and as warm
    Given a fleet watcher that has listed e1 and e2
    When the entry of e1 says that it is cold for 3000, 1800 and 600 ms
    Then e1 is limited as a cold endpoint and e2 is not
    And it is logged once that e1 is cold
    When 1 seconds pass at the fleet watcher
    Then e1 is not limited as a cold endpoint
    And it is logged once that e1 is warm

  # Guards against an instance that borrows the list and takes a cold endpoint
  # for a warm one.
  Scenario: A borrowed list tells which endpoints are cold
    Given a fleet watcher that has listed e1 and e2
    And an instance that cannot read the store
    When the entry of e1 says that it is cold for 3000, 1800 and 1500 ms
    And that instance calls its peer
    Then e1 is known as cold there too

  # Guards against lines by which the requests of a version cannot be counted.
  Scenario: The line of a changed endpoint names its version
    Given a fleet watcher that has listed e1 and e2
    When e1 is listed with version v2
    Then the line of its change names version v2

  # Guards against a mark that is lost because the answer arrives while the
  # entry is away for a moment, as in a gap of the store.
  Scenario: An endpoint that says it leaves while its entry is away stays away
    Given a fleet watcher that has listed e1 and e2
    When the entry of e1 is deleted
    And two answers of e1 say that it leaves
    And the list is read again
    Then only e2 accepts requests
    And its peers are told once that e1 said it leaves
