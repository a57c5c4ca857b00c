Feature: The room of a service is divided by rank and account

  # Guards against refusals while there is enough room.
  Scenario: Demand within the room is granted whole
    Given the room demand "0 a 20, 1 b 30, 2 a 40"
    When a room of 90 places is divided
    Then every room share is 1

  # Guards against urgent requests refused beside less urgent ones.
  Scenario: The least urgent rank bears the lack, down to its floor
    Given the room demand "0 a 40, 1 a 40, 2 a 100"
    When a room of 100 places is divided
    Then the room shares are "0 a 1, 1 a 1, 2 a 0.2"

  # Guards against ranks and accounts that are shut out altogether.
  Scenario: Every rank and account keeps a floor
    Given the room demand "0 a 300, 1 b 30, 2 a 100, 2 c 100"
    When a room of 100 places is divided
    Then every room share is at least 0.012
    And no more than 100 places are granted

  # Guards against a heavy account at the cost of the others.
  Scenario: A heavy account does not reduce the others' shares
    Given the room demand "0 a 30, 0 b 10, 1 a 60, 1 b 20, 1 c 30"
    When a room of 100 places is divided
    Then the room shares are "0 a 1, 0 b 1, 1 b 1, 1 c 1, 1 a 0.167"

  # Guards against a less urgent rank served more often than an urgent one.
  Scenario Outline: Shares fall with the rank and stay within the room
    When random room demand with seed <seed> is divided
    Then the shares of whole ranks fall, and the room is used and not exceeded

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
