Feature: Moves of versions across a restore of the store

  # Guards against a completed move that falls back: its old endpoints stop at
  # the end of the move, so a share for them is lost requests.
  Scenario Outline: A completed move stays so after a restore
    Given 8 instances with 40 requests a second, and a new version that is good
    When the move is ordered for 16 s
    And the store is copied <copied> s after the order and restored at 18 s
    Then 3 s after the restore the move is completed
    And the new version got every request since the restore

    Examples:
      | copied |
      | 0.05   |
      | 1.5    |
      | 5      |

  # Guards against requests for a version that was taken back already.
  Scenario Outline: A version that was taken back stays so after a restore
    Given 8 instances with <rate> requests a second, and a new version that <fault>
    When the move is ordered for 16 s
    And the store is copied <copied> s after the order and restored at <at> s
    Then 3 s after the restore the move is rolled_back
    And the new version got no request since the restore

    Examples:
      | rate | fault          | copied | at |
      | 40   | fails          | 0.05   | 10 |
      | 40   | fails          | 1.5    | 10 |
      | 40   | fails after 6 s | 5     | 14 |
      | 2    | is good        | 5      | 18 |

  # Guards against a move that nobody drives on, or whose exposure is counted
  # anew, since its record is older than what the instances know.
  Scenario Outline: A move in progress goes on after a restore
    Given 8 instances with 40 requests a second, and a new version that <fault>
    When the move is ordered for 20 s
    And the store is copied <copied> s after the order and restored at 5 s
    Then it is <state> by its deadline
    And the new version got at most a tenth of the requests and 50 more, or is good

    Examples:
      | fault           | copied | state       |
      | is good         | 0.05   | completed   |
      | is good         | 3      | completed   |
      | fails after 6 s | 0.05   | rolled_back |
      | fails after 6 s | 3      | rolled_back |

  # Guards against a move that begins anew, with a deadline and an exposure of
  # its own, because a restored store lacks its order until it is written again.
  Scenario Outline: A move whose order a restore has lost goes on
    Given 8 instances with 40 requests a second, and a new version that <fault>
    When the move is ordered for 20 s and the order is lost at <lost> s for <gap> s
    Then it is <state> by its deadline
    And the new version got at most a tenth of the requests and 50 more, or is good
    And the store holds the move that was ordered first

    Examples:
      | fault           | lost | gap | state       |
      | is good         | 5    | 1   | completed   |
      | is good         | 5    | 4   | completed   |
      | fails after 6 s | 5    | 4   | rolled_back |

  # Guards against a move that has ended and that begins anew.
  Scenario Outline: A move that has ended stays so when its order was lost
    Given 8 instances with 40 requests a second, and a new version that <fault>
    When the move is ordered for 16 s and the order is lost at <lost> s for 4 s
    Then 3 s after it is written again the move is <state>
    And each request since the restore went to <version>
    And the store holds the move that was ordered first

    Examples:
      | fault   | lost | state       | version |
      | is good | 18   | completed   | v2      |
      | fails   | 10   | rolled_back | v1      |

  # Guards against a process that takes the order written again for another.
  Scenario: A process that starts later follows the move of a lost order
    Given 8 instances with 40 requests a second, and a new version that is good
    When the move is ordered for 20 s and the order is lost at 5 s for 4 s
    And another instance starts after 10 s
    Then it is completed by its deadline
    And the store holds the move that was ordered first
    And all instances give the new version every request

  # Guards against a move that goes on for good without its order.
  Scenario Outline: A move whose order is gone for good is rolled back
    Given 8 instances with 40 requests a second, and a new version that is good
    When the move is ordered for 40 s and the order is lost at 5 s for <gap> s
    And <event>
    Then 12 s later no instance gives the new version any request

    Examples:
      | gap | event                                         |
      | 20  | nothing is written again                      |
      | 3   | the order is deleted 1 s after it was written |
