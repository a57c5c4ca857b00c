Feature: Record of a version move

  Scenario: Stages never go back and done keeps its margin
    Given a move of 300 seconds
    Then no sequence of changes takes the stage back or writes done too late

  Scenario Outline: A move that cannot start is a typed error
    Given a move of 300 seconds
    When a move is started <how>
    Then the move is refused with a remedy

    Examples:
      | how                     |
      | while it is under way   |
      | to the version in use   |
      | with too little time    |

  Scenario: Of two operators who race one gets a conflict
    Given a rollout of 300 seconds with drivers a
    When two operators abort the move at the same version
    Then one of the operators gets a conflict
    And the stored move is rolled back with a reason about "aborted"

  Scenario: A new move keeps the lease of the former driver
    Given a move of 300 seconds
    When the move is rolled back under a lease of driver a and another starts
    Then the new move still has the lease of driver a
