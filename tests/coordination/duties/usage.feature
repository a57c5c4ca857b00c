Feature: Usage counts in time windows

  Scenario: Counts of all sources add up, however often they are told
    Given a usage ledger of source x
    And a usage ledger of source y
    When x counts 3 requests of acme at 101
    And y counts 2 requests of acme at 104
    And y counts 4 requests of acme at 106
    And y reports its counts to x at 106
    And y reports its counts to x at 106
    Then x has 5 requests of acme in window 20
    And x has 4 requests of acme in window 21

  Scenario: What a source told before it ended stays
    Given a usage ledger of source x
    And a usage ledger of source y
    When y counts 2 requests of acme at 101
    And y reports its counts to x at 102
    And y counts 1 requests of acme at 103
    And y reports its counts to x at 104
    Then x has 3 requests of acme in window 20

  Scenario: Malformed counts are refused
    Given a usage ledger of source x
    Then malformed counts are refused by x
