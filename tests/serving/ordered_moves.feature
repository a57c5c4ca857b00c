Feature: Ordered moves on many instances

  # Guards against a bad version whose requests add up over the instances.
  Scenario Outline: A bad version stays within its exposure on all instances
    Given <count> instances with <rate> requests a second, and a new version that <fault>
    When the move is ordered for 16 s
    Then it is rolled_back by its deadline
    And the new version got at most a tenth of the requests and 50 more
    And no request reached it later than 5 s after its 50th bad answer

    Examples:
      | count | rate | fault                  |
      | 8     | 40   | fails                  |
      | 8     | 40   | is slow                |
      | 8     | 40   | fails after 6 s        |
      | 8     | 40   | fails on one route     |
      | 8     | 10   | fails                  |
      | 200   | 100  | fails                  |

  Scenario Outline: A good version is completed on all instances
    Given <count> instances with <rate> requests a second, and a new version that is good
    When the move is ordered for 16 s
    Then it is completed by its deadline
    And all instances give the new version every request

    Examples:
      | count | rate |
      | 1     | 40   |
      | 8     | 10   |
      | 8     | 40   |
      | 200   | 100  |

  # Guards against a move that nobody drives to its end.
  Scenario Outline: Another instance takes a move over
    Given 8 instances with 40 requests a second, and a new version that <fault>
    When the move is ordered for 20 s
    And its driver <fate> after 3 s
    Then it is <state> by its deadline

    Examples:
      | fault           | fate                   | state       |
      | is good         | ends                   | completed   |
      | is good         | is cut from the store  | completed   |
      | fails after 6 s | is cut from the store  | rolled_back |

  Scenario: A bad version stays within its exposure when its driver ends
    Given 8 instances with 40 requests a second, and a new version that fails after 6 s
    When the move is ordered for 20 s
    And its driver ends after 3 s
    Then it is rolled_back by its deadline
    And the new version got at most a tenth of the requests and 50 more
    And no request reached it later than 5 s after its 50th bad answer

  # Guards against a verdict that waits for the store.
  Scenario: A version that fails while the store is away gets no more requests
    Given 8 instances with 40 requests a second, and a new version that fails after 6 s
    When the move is ordered for 16 s
    And the store is away from 5 s to 14 s
    Then it is rolled_back by its deadline
    And the new version got at most a tenth of the requests and 50 more
    And no request reached it later than 5 s after its 50th bad answer

  Scenario: A good version is completed although the store was away
    Given 8 instances with 40 requests a second, and a new version that is good
    When the move is ordered for 20 s
    And the store is away from 5 s to 10 s
    Then it is completed by its deadline

  Scenario: The store comes back after the deadline
    Given 8 instances with 40 requests a second, and a new version that is good
    When the move is ordered for 16 s
    And the store is away from 5 s to 20 s
    Then it is rolled_back 2 s after the store is back
    And the new version got no request 0.5 s after the deadline

  Scenario: An instance that starts in the middle of a move follows its record
    Given 8 instances with 40 requests a second, and a new version that fails after 6 s
    When the move is ordered for 16 s
    And another instance starts after 5 s
    Then it is rolled_back by its deadline
    And the new version got at most a tenth of the requests and 50 more

  Scenario: The instances write the record only as often as its lease requires
    Given 8 instances with 40 requests a second, and a new version that is good
    When the move is ordered for 16 s
    Then it is completed by its deadline
    And the store got at most 40 writes, all of them from one driver

  # Guards against a move that goes on after its order was deleted, since the
  # store reports the deletion with the revision of the last write.
  Scenario Outline: The move of a deleted order is rolled back on all instances
    Given 8 instances with 40 requests a second, and a new version that is good
    When the move is ordered for 20 s
    And the order is deleted <after> s after it was written
    Then 5 s later no instance gives the new version any request

    Examples:
      | after |
      | 1     |
      | 5     |

  # Guards against a version that was rolled back getting half of the requests
  # again after a second order and a restart: only processes that had seen the
  # first order knew of it (review/5).
  Scenario Outline: A version that was rolled back gets nothing after a restart
    Given 4 instances with 40 requests a second, and a new version that fails
    When the move is ordered for 16 s
    And version v2 is rolled back
    And a move to v3 is ordered for 16 s
    And <seconds> s pass
    And <count> instances are killed and start again
    Then version v2 gets no request for 6 s

    Examples:
      | count | seconds |
      | 4     | 0.2     |
      | 4     | 2       |
      | 2     | 0.05    |
      | 2     | 2       |

  # Guards against the same when more orders followed.
  Scenario: A version that was rolled back gets nothing after a third order
    Given 4 instances with 40 requests a second, and a new version that fails
    When the move is ordered for 16 s
    And version v2 is rolled back
    And a move to v3 is ordered for 16 s
    And 1 s pass
    And a move to v4 is ordered for 16 s
    And 2 s pass
    And 4 instances are killed and start again
    Then version v2 gets no request for 3 s
    And version v3 gets no request for 3 s

  # Guards against a version that may never be tried again.
  Scenario: A version that was rolled back is tried when it is ordered again
    Given 4 instances with 40 requests a second, and a new version that fails
    When the move is ordered for 16 s
    And version v2 is rolled back
    And a move to v3 is ordered for 16 s
    And 1 s pass
    And a move to v2 is ordered for 16 s
    And 0.2 s pass
    And 4 instances are killed and start again
    Then version v2 gets requests in 8 s
    And version v3 gets no request for 2 s
