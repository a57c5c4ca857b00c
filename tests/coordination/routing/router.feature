Feature: Routing

  Background:
    Given a router over 60 endpoints of v1 and 4 of v2

  Scenario: A version with share 0 gets nothing
    When 500 requests are routed with shares v1=1 v2=0
    Then version v2 got 0 requests

  Scenario: Without any share nothing is routed
    When 10 requests are routed with shares v1=0 v2=0
    Then version v1 got 0 requests
    And version v2 got 0 requests

  Scenario: Versions get their shares
    When 2000 requests are routed with shares v1=0.9 v2=0.1
    Then version v2 got between 150 and 250 requests

  Scenario: A repeated request keeps its version while its share grows
    Then a request assigned to v2 keeps v2 as its share grows

  Scenario: A version under trial does not inherit the larger one's traffic
    When all endpoints of v1 are marked as leaving
    And 1000 requests are routed with shares v1=0.95 v2=0.05
    Then version v2 got between 20 and 90 requests
    And the other requests got no endpoint, not run, with a retry time

  Scenario: The larger version takes over from one without endpoints
    When all endpoints of v2 are marked as leaving
    And 500 requests are routed with shares v1=0.9 v2=0.1
    Then version v1 got between 500 and 500 requests

  Scenario: Leaving, draining, open and excluded endpoints get no request
    When 20 endpoints are leaving, 10 draining and 10 have open circuits
    And 1000 requests are routed that exclude 10 more endpoints
    Then only the 10 remaining endpoints got requests

  Scenario: A booking does not probe an endpoint while others take it
    When endpoint a0 is half open and 200 bookings are routed
    Then endpoint a0 got 0 of the routed requests

  Scenario: A conversation goes where its prompt is cached
    When a long prompt was sent to endpoint a7
    Then the same prompt is routed to endpoint a7 with cached tokens

  Scenario: A cached prompt goes elsewhere when its endpoint is full
    When a long prompt was sent to endpoint a7
    And endpoint a7 reports a long queue
    Then the same prompt is not routed to endpoint a7

  Scenario: A queue that moves quickly does not drive a cached prompt away
    When a long prompt was sent to endpoint a7
    And endpoint a7 reports a long queue
    And requests occupied a slot for 0.01 seconds
    Then the same prompt is routed to endpoint a7 with cached tokens

  Scenario: Prompts sent since the report keep the next ones away
    When 60 long prompts without a common prefix are routed
    Then no endpoint got more than 3 of them

  Scenario Outline: The pace of engines is learned from first tokens
    When engines with a step of <step> s take <pace> s for a prompt token
    And one answer in three was queued for half a second
    Then the learned time per token is between <pace> s and twice that

    Examples:
      | step  | pace     |
      | 0.053 | 0.000007 |
      | 0.001 | 0.000016 |
      | 0.02  | 0.0003   |

  Scenario: Requests that share parts meet without any message
    When 8 nodes route requests of 40 sessions that share prompt parts
    Then the requests of a session go to one endpoint
    And the sessions are spread over at least 20 endpoints
    When the endpoint of session 3 has a full batch
    Then a request of session 3 goes elsewhere

  Scenario: A long prompt that a peer has sent keeps short ones away
    When a peer sends a prompt of 2 seconds to the endpoint of session 5
    Then a request of session 5 goes elsewhere

  Scenario: Patient requests prefer cheap endpoints
    When 300 patient requests are routed without any load
    Then more than 200 of them went to the cheapest failure domain

  Scenario: No order of events makes routing choose a leaving endpoint
    Then in any order of events routing never chooses a leaving endpoint

  Scenario Outline: Plain policies obey the same exclusions
    When 20 endpoints are leaving, 10 draining and 10 have open circuits
    And 200 requests are routed by <policy>, excluding 10 more endpoints
    Then only the 10 remaining endpoints got requests

    Examples:
      | policy           |
      | RoundRobin       |
      | LeastOutstanding |
      | PowerOfTwo       |

  Scenario Outline: The choice of another instance is taken while it can be
    Given endpoints of which another instance chose one that <state>
    Then the chosen endpoint is <result>

    Examples:
      | state           | result      |
      | is busy         | taken       |
      | is leaving      | not taken   |
      | has just failed | not taken   |
      | is not listed   | not taken   |

  # Services without the fourth figure keep the placement that they have.
  Scenario: The policy follows what the endpoints of a service report
    When 20 requests are routed with shares v1=1 v2=0
    Then they were placed by load
    When endpoint a0 reports its work time
    And 20 requests are routed with shares v1=1 v2=0
    Then they were placed by work

  Scenario: Placement by work leaves out what accepts no request
    When endpoint a0 reports its work time
    And 20 endpoints are leaving, 10 draining and 10 have open circuits
    And 1000 requests are routed that exclude 10 more endpoints
    Then only the 10 remaining endpoints got requests

  # A decision that looked at all endpoints in full took too long at 60.
  Scenario: A decision by work is fast
    When endpoint a0 reports its work time
    Then a decision of a cached prompt takes at most 200 us
