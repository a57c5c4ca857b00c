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

  # Guards against the end of a move that changes after it was told: a driver
  # that knows only the older record of a restored store ends it another way.
  Scenario Outline: The record that is further holds after a restore
    Given a record of a move that is <known>, in epoch <known_epoch>
    When a record that is <found>, in epoch <found_epoch>, is read in a new era
    Then the record that holds is <held>, under the version of the new era

    Examples:
      | known       | known_epoch | found       | found_epoch | held        |
      | shifting    | 1           | planned     | 1           | shifting    |
      | shifting    | 1           | shifting    | 2           | shifting    |
      | done        | 1           | shifting    | 2           | done        |
      | done        | 1           | rolled_back | 2           | done        |
      | rolled_back | 1           | done        | 2           | rolled_back |
      | shifting    | 2           | rolled_back | 1           | rolled_back |

  Scenario: A later record of the same era holds
    Given a record of a move that is shifting, in epoch 2
    When a record that is planned, in epoch 1, is read in the same era
    Then the record that holds is planned, in the same era
