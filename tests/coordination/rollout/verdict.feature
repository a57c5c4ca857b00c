Feature: Verdict on a new version

  Scenario: Evidence against an equal version is no more than one on average
    Then the evidence of an evaluation is fair for any counts of requests and hits

  Scenario Outline: A bad version is found and a good one is not
    Given two versions that together serve 100 requests a second, the new one a share of <share>
    When for 30 seconds <what>
    Then the verdict is <verdict>

    Examples:
      | share | what                              | verdict                 |
      | 0.05  | the new version fails             | failing in total        |
      | 0.8   | the new version fails             | failing in total        |
      | 0.05  | the new version is slow           | slow in total           |
      | 0.05  | the new version fails on route c among few failures| failing on route c      |
      | 0.05  | both versions serve well          | good                    |
      | 0.8   | both versions serve well          | good                    |
      | 0.05  | everything fails                  | undecided               |
      | 0.8   | everything fails                  | undecided               |
      | 0.8   | everything is slow                | undecided               |
      | 0.05  | the new version's failures are excused | good               |

  Scenario: A version that turns bad after serving well is found soon
    Given two versions that together serve 100 requests a second, the new one a share of 0.5
    When for 60 seconds both versions fail a little
    And for 3 seconds the new version fails among few failures
    Then the verdict is failing in total

  Scenario: An outage of everything does not hide a good version for long
    Given two versions that together serve 100 requests a second, the new one a share of 0.5
    When for 30 seconds everything fails
    And for 10 seconds both versions serve well
    Then the verdict is good

  Scenario: The failures of a single look are no verdict
    Given two versions that together serve 1000 requests a second, the new one a share of 0.1
    When for 30 seconds both versions serve well
    And for 0.5 seconds the new version fails
    Then the verdict is good

  Scenario: A verdict stays
    Given two versions that together serve 100 requests a second, the new one a share of 0.5
    When for 3 seconds the new version fails
    And for 60 seconds everything fails
    Then the verdict is failing in total

  Scenario: A node that was paused draws nothing from that time
    Given two versions that together serve 100 requests a second, the new one a share of 0.05
    When the share rises and everything fails during each of 4 pauses
    Then the verdict is undecided

  Scenario: A bad version is found with few requests
    Given two versions that together serve 4 requests a second, the new one a share of 0.05
    When for 120 seconds the new version fails
    Then the verdict is failing in total
