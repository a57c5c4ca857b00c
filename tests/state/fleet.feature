Feature: Fleet of endpoints across store outages

  Scenario: An entry that is removed is gone at once
    Given a fleet with endpoints e1 and e2
    When the entry of e1 is removed
    Then the fleet has e2

  Scenario: Entries that lapsed while the store was away have time to return
    Given a fleet with endpoints e1 and e2
    When the store recovers from an outage
    And the entry of e1 is removed
    Then the fleet has e1 and e2
    When 1 seconds go by and e1 is listed again
    And 5 seconds go by
    Then the fleet has e1 and e2

  Scenario: An entry that is still missing after that is gone
    Given a fleet with endpoints e1 and e2
    When the store recovers from an outage
    And a list without e1 is read
    And 2.1 seconds go by
    Then the fleet has e2

  Scenario: An entry that cannot be read names no endpoint
    Given a fleet with endpoints e1 and e2
    When the entry of e1 becomes unreadable
    Then the fleet has e2

  Scenario: A restart under the same identity is another endpoint
    Given a fleet with endpoints e1 and e2
    When e1 is leaving and starts again under the same identity
    Then the new e1 accepts work and the former one does not

  # Guards against an endpoint that is kept cold by an entry that is only read
  # again, and against one that is logged as cold or warm more than once.
  Scenario: An endpoint is cold for the time that its latest entry tells
    Given a fleet with endpoints e1 and e2
    Then an entry of e1 with 2 seconds cold makes it cold until 102
    When 1 seconds go by
    Then an entry of e1 with 2 seconds cold changes nothing until 102
    And an entry of e1 with 3 seconds cold changes nothing until 104
    And an entry of e1 with 0 seconds cold makes it warm
    And an entry of e1 with 1 seconds cold makes it cold until 102
    When 2 seconds go by
    Then e1 has warmed up, which is told once
