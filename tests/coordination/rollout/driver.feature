Feature: Driver of a version move

  Scenario: A good version is done before its margin
    Given a rollout of 160 seconds with drivers a, b
    When 200 seconds pass
    Then the stored move is done and was written in time
    And every node gives the new version a share of 1
    And every endpoint still has version v1
    When 40 seconds pass
    Then every endpoint has only version v2

  Scenario: A bad version gets no requests from the verdict on
    Given a rollout of 160 seconds with drivers a, b
    When the new version degrades and 40 seconds pass
    Then the stored move is rolled back with a reason about "failing"
    And the verdict first set the share, then was published, then written
    When 100 seconds pass
    Then every endpoint has only version v1

  Scenario: A verdict is told again until the record has ended
    Given a monitor of a move that is shifting
    When the monitor receives a verdict against the new version
    Then the monitor sets the share to 0 at once and publishes each second
    And the monitor publishes nothing once the move is rolled back

  Scenario Outline: The move goes on without its driver
    Given a rollout of 160 seconds with drivers a, b
    When 30 seconds pass
    And driver a is paused
    And <pause_s> seconds pass
    And driver a resumes
    Then driver a does not hold the lease and gave no order on resuming
    When 200 seconds pass
    Then the stored move is done and was written in time

    Examples:
      | pause_s |
      | 20      |
      | 60      |

  Scenario: Two drivers meet in the conditional update
    Given a rollout of 160 seconds with drivers a, b, c
    When 4 seconds pass
    Then exactly one driver holds the lease and the epoch is 1

  Scenario: Lost answers are settled by reading again
    Given a rollout of 160 seconds with drivers a, b
    When every second answer of the store is lost
    And 240 seconds pass
    Then the stored move is done and was written in time

  Scenario: The store is down from before the last time for done
    Given a rollout of 160 seconds with drivers a, b
    When 90 seconds pass
    And the store goes down
    And 75 seconds pass
    Then every node gives the new version a share of 0
    When the store comes back
    And 30 seconds pass
    Then the stored move is rolled back with a reason about "not enough time"

  Scenario: A verdict is acted on while the store is down
    Given a rollout of 160 seconds with drivers a, b
    When 90 seconds pass
    And the store goes down
    And the new version degrades and 20 seconds pass
    Then every node gives the new version a share of 0
    When the store comes back
    And 10 seconds pass
    Then the stored move is rolled back with a reason about "failing"

  Scenario: Done took effect but its answer and the store were lost
    Given a rollout of 160 seconds with drivers a, b
    When the store goes down as soon as done is written
    And 170 seconds pass
    Then every node gives the new version a share of 0
    And every endpoint still has version v1
    When the store comes back
    And 30 seconds pass
    Then every node gives the new version a share of 1

  Scenario: A write that was held up is not sent after its time
    Given a rollout of 160 seconds with drivers a, b
    When 95 seconds pass
    And the senders stall for 50 seconds
    And 30 seconds pass
    Then the stored move is rolled back with a reason about "not enough time"
    And a stale read of the record changes nothing

  Scenario: Refused starts end the move with a reason
    Given a rollout of 160 seconds with drivers a, b
    When no endpoint accepts a load
    And 170 seconds pass
    Then the stored move is rolled back with a reason about "endpoints"

  Scenario: Loading keeps to the weight store's rate
    Given a rollout of 160 seconds with drivers a, b
    When the weight store allows one load in 5 seconds
    And 240 seconds pass
    Then no two loads are closer than 5 seconds
    And the stored move is done and was written in time

  Scenario: An endpoint that ignores fences is repaired
    Given a rollout of 160 seconds with drivers a, b
    When 240 seconds pass
    And a late order loads version v1 again on an endpoint that checks no fencing tokens
    And 30 seconds pass
    Then every endpoint has only version v2

  Scenario: No order is given near the end of the lease
    Given a rollout of 160 seconds with drivers a, b
    When no endpoint accepts a load
    And 20 seconds pass
    And the store goes down
    And 30 seconds pass
    Then every order could be sent no later than 3 seconds before a lease's end

  Scenario: Every schedule of failures ends clearly at the deadline
    Given any schedule of pauses, outages, lost or late writes and a bad version
    Then each move ends as done in time or rolled back, on every node
