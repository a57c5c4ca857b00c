Feature: Seeded schedule of injected faults

  Scenario: A seed gives one schedule
    Given the schedules of seeds 1 to 50
    Then the schedule of each seed is the same when it is made again
    And no two schedules are the same

  Scenario: Callers can always go on
    Given the schedules of seeds 1 to 50
    Then each fault ends before the run does
    And at most one entry instance is unavailable at a time
    And every action occurs in some schedule
