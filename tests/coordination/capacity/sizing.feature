Feature: Number of endpoints to order

  Scenario Outline: The load gives the need
    Then <busy> s/s of prompts and <in_flight> requests at 48 slots require <need> endpoints

    Examples:
      | busy | in_flight | need |
      | 0    | 0         | 1    |
      | 1.4  | 20        | 4    |
      | 0.1  | 167       | 10   |

  Scenario: Half of the need is firm and the rest is spread and cheap
    Given four domains with prices 1.0, 0.8, 1.25 and 0.9
    And 1 reclaimable endpoints serve in each domain
    When 6 endpoints are needed
    Then 3 on-demand endpoints are wanted in d2, d4 and d1
    And 4 reclaimable endpoints are wanted, one in each domain

  Scenario: Reclaimable endpoints count for the need once they serve
    Given four domains with prices 1.0, 0.8, 1.25 and 0.9
    When 6 endpoints are needed and none serves
    Then 6 on-demand endpoints are wanted in total
    And 4 reclaimable endpoints are wanted, one in each domain

  Scenario: What boots is not taken back while it is needed
    Given four domains with prices 1.0, 0.8, 1.25 and 0.9
    And 1 reclaimable endpoints serve in each domain
    And 6 on-demand endpoints boot in d1
    When 6 endpoints are needed
    Then 6 on-demand endpoints are still wanted in d1

  Scenario: Without reclaimable ones the whole need is firm
    Given four domains with prices 1.0, 0.8, 1.25 and 0.9
    And no reclaimable endpoint is available
    When 6 endpoints are needed and none serves
    Then 6 on-demand endpoints are wanted in total

  Scenario: Nothing is given up before its replacement serves
    Given four domains with prices 1.0, 0.8, 1.25 and 0.9
    And 2 on-demand endpoints serve in each domain
    When 6 endpoints are needed
    Then at least 6 of the serving endpoints are kept
    When 4 reclaimable endpoints serve too
    Then 3 on-demand endpoints are wanted in total

  Scenario: Every domain keeps the least that its bounds ask for
    Given four domains with prices 1.0, 0.8, 1.25 and 0.9
    When 1 endpoints are needed and none serves
    Then each domain has at least 1 and at most 5 endpoints

  Scenario Outline: The bounds are never exceeded
    Given four domains with prices 1.0, 0.8, 1.25 and 0.9
    When <need> endpoints are needed and none serves
    Then each domain has at least 1 and at most 5 endpoints

    Examples:
      | need |
      | 12   |
      | 40   |

  # Pattern: all reclaimable endpoints of one failure domain are reclaimed at
  # the same time. What remains has to cover the load. The price is three
  # tenths of the need on demand and the rest reclaimable, each rounded up.

  Scenario Outline: The reclaim of one domain leaves what the load requires
    Given <domains> domains of equal price and the default rules
    When <need> endpoints are needed and all that is wanted serves
    Then at least <need> endpoints remain without any one domain's reclaimable ones
    And they cost at most <price> on-demand endpoints

    Examples:
      | domains | need | price |
      | 3       | 6    | 4.0   |
      | 4       | 6    | 3.8   |
      | 4       | 10   | 5.5   |
      | 6       | 24   | 12.8  |
      | 16      | 100  | 47.6  |

  # Guards against endpoints that count as able to take a load which they
  # would refuse, or crash under.
  Scenario Outline: A cold endpoint takes a part of a warm one's load
    Then a cold endpoint of <rate> requests a second, each of <hold> s, at <slots> slots counts as <part>

    Examples:
      | rate | hold | slots | part  |
      | 15   | 0.14 | 12    | 0.5   |
      | 15   | 2    | 12    | 1     |
      | 15   | 0    | 12    | 0     |

  Scenario: More are wanted while reclaimable endpoints are cold
    Given four domains with prices 1.0, 0.8, 1.25 and 0.9
    And 2 reclaimable endpoints serve in each domain
    When 6 endpoints are needed
    Then 3 on-demand endpoints are wanted in total
    When 6 endpoints are needed and each domain's reclaimable ones lack 1.5
    Then 4 on-demand endpoints are wanted in total
