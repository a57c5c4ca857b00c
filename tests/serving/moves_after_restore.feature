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
