Feature: Capacity plan

  Background:
    Given prices of 4 failure domains, on-demand at 3 times reclaimable

  Scenario: The loss of any one failure domain leaves the target
    When a capacity of 6 urgent and 3 patient is planned within 100 an hour
    Then the capacity plan survives the loss of any failure domain
    And the capacity plan starts only reclaimable instances
    And the capacity plan has no shortfall

  Scenario: What runs is kept and only what lacks is started
    Given 3 instances run in each failure domain
    When a capacity of 6 urgent and 3 patient is planned within 100 an hour
    Then the capacity plan starts 0 and stops 0 instances

  Scenario: Leaving instances do not count
    Given 3 instances run in each failure domain
    And the instances of failure domain d0 are leaving
    When a capacity of 6 urgent and 3 patient is planned within 100 an hour
    Then the capacity plan survives the loss of any failure domain
    And the capacity plan starts 3 and stops 0 instances

  Scenario: Refused starts go to other failure domains and markets
    Given starts in failure domain d0 were refused
    When a capacity of 6 urgent and 3 patient is planned within 100 an hour
    Then the capacity plan starts nothing in failure domain d0
    And the capacity plan survives the loss of any failure domain

  Scenario: On-demand instances replace refused reclaimable ones
    Given all reclaimable starts were refused
    When a capacity of 2 urgent and 1 patient is planned within 100 an hour
    Then the capacity plan survives the loss of any failure domain
    And the capacity plan has no shortfall

  Scenario: When everything is refused, patient work is shed first
    Given 2 instances run in each failure domain
    And all starts were refused
    When a capacity of 5 urgent and 2 patient is planned within 100 an hour
    Then the capacity plan sheds 50% of the patient work
    And the capacity plan lacks 0 urgent capacity

  Scenario: What cannot be met even without patient work is told
    Given 1 instances run in each failure domain
    And all starts were refused
    When a capacity of 5 urgent and 2 patient is planned within 100 an hour
    Then the capacity plan sheds 100% of the patient work
    And the capacity plan lacks 2 urgent capacity

  Scenario: The budget goes before patient work
    When a capacity of 6 urgent and 6 patient is planned within 12 an hour
    Then the capacity plan costs at most 12 an hour
    And the capacity plan lacks 0 urgent capacity
    And the capacity plan sheds more than 0% of the patient work

  Scenario: Surplus is stopped only while the rest meets the target
    Given 6 instances run in each failure domain
    When a capacity of 6 urgent and 3 patient is planned within 100 an hour
    Then the capacity plan starts 0 and stops 12 instances
    And the capacity plan stops the most expensive instances

  Scenario: Nothing is stopped that a start is to replace
    Given 9 on-demand instances run in each failure domain but d0
    When a capacity of 18 urgent and 0 patient is planned within 100 an hour
    Then the instances that are not stopped survive the loss of any domain

  Scenario: On-demand instances are replaced once reclaimable ones start
    Given 3 on-demand instances run in each failure domain
    When a capacity of 6 urgent and 3 patient is planned within 100 an hour
    Then the capacity plan starts 12 and stops 0 instances
    Given 3 more reclaimable instances run in each failure domain
    When a capacity of 6 urgent and 3 patient is planned within 100 an hour
    Then the capacity plan starts 0 and stops 12 instances
    And the capacity plan stops only on-demand instances

  Scenario: A replacement that the budget does not cover waits
    Given 3 on-demand instances run in each failure domain
    When a capacity of 6 urgent and 3 patient is planned within 42 an hour
    Then the capacity plan starts 0 and stops 0 instances
    And the capacity plan has no shortfall

  Scenario: Instances of a version without demand are stopped
    Given 3 instances run in each failure domain
    When no capacity is planned
    Then the capacity plan starts 0 and stops 12 instances

  Scenario: On-demand instances keep a part when all reclaimable ones go
    When a capacity of 8 urgent is planned with an on-demand fraction of 0.5
    Then on-demand instances of the capacity plan provide at least 4

  Scenario: A refused offer is tried again after a doubling, jittered time
    Then refusals of one offer block it for 2.5 to 5, then 5 to 10 seconds
    And a successful start resets the backoff of the offer

  Scenario: No demand, prices or refusals exceed the budget
    Then for any demand a plan without running instances is within the budget
