Feature: Usage counts in time windows

  Scenario: Counts of all sources add up, however often they are told
    Given a usage ledger of source x
    And a usage ledger of source y
    When x counts 3 requests of acme at 101
    And y counts 2 requests of acme at 104
    And y counts 4 requests of acme at 106
    And y reports its counts to x at 106
    And y reports its counts to x at 106
    Then x has 5 requests of acme in window 20
    And x has 4 requests of acme in window 21

  Scenario: What a source told before it ended stays
    Given a usage ledger of source x
    And a usage ledger of source y
    When y counts 2 requests of acme at 101
    And y reports its counts to x at 102
    And y counts 1 requests of acme at 103
    And y reports its counts to x at 104
    Then x has 3 requests of acme in window 20

  Scenario: Malformed counts are refused
    Given a usage ledger of source x
    Then malformed counts are refused by x

  # Guards against a report that is known to its sender only, and against
  # messages that grow with the number of reports.
  Scenario: The latest report is told with the counts, once a message
    Given a usage ledger of source x
    And a usage ledger of source y
    When x counts 2 requests of acme at 101
    And x records the report of window 18 with 5 requests of acme
    And x records the report of window 19 with 6 requests of acme
    And x reports its counts and its report to y at 106
    Then y knows the report of window 19 with 6 requests of acme
    And all counts of y at 106 hold the report once

  # Guards against a report that is replaced by a later one of the same window.
  Scenario: Of two reports of a window the first known one stays
    Given a usage ledger of source x
    And a usage ledger of source y
    When y records the report of window 19 with 6 requests of acme
    And x records the report of window 19 with 7 requests of acme
    And x reports its counts and its report to y at 106
    Then y knows the report of window 19 with 6 requests of acme

  Scenario: A report older than all windows that are kept is not told
    Given a usage ledger of source x
    When x records the report of window 19 with 6 requests of acme
    Then all counts of x at 240 hold no report
