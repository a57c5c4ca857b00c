Feature: Endpoint view

  Background:
    Given an endpoint view of 8 endpoints in 4 failure domains

  Scenario: A lagging list does not undo a leaving mark
    When endpoint e0 is marked as leaving
    And the endpoint list still shows all endpoints as live
    Then endpoint e0 is not available

  Scenario: A mark set before the list shows the endpoint holds
    When endpoint e8 is marked as leaving
    And the endpoint list shows 9 endpoints
    Then endpoint e8 is not available

  Scenario: An older list read after a newer one does not undo a mark
    When endpoint e0 is marked as leaving
    And the endpoint list shows no endpoint
    And the endpoint list shows no endpoint
    And the endpoint list still shows all endpoints as live
    Then endpoint e0 is not available

  Scenario: A mark is forgotten long after the endpoint is gone
    When endpoint e0 is marked as leaving
    And the endpoint list shows no endpoint
    And 200 seconds pass for the endpoint view
    And the endpoint list shows no endpoint
    And the endpoint list still shows all endpoints as live
    Then endpoint e0 is available

  Scenario: A failure domain's mark covers endpoints that are listed later
    When failure domain d0 is marked as leaving
    And the endpoint list shows 9 endpoints
    Then the available endpoints are e1 e2 e3 e5 e6 e7

  Scenario: A failure domain's mark with an end spares later endpoints
    When failure domain d0 is marked as leaving for 5 seconds
    And 6 seconds pass for the endpoint view
    And the endpoint list shows 9 endpoints
    Then the available endpoints are e1 e2 e3 e5 e6 e7 e8

  Scenario: A list that says leaving latches too
    When the endpoint list shows e0 as leaving
    And the endpoint list still shows all endpoints as live
    Then endpoint e0 is not available

  Scenario: Work sent since the report is added to it
    When endpoint e0 reports 3 running and 1 queued, measured 1 seconds ago
    And 2 requests are sent to endpoint e0
    Then endpoint e0 has a load of 6

  Scenario: Work that a late report already shows is not counted twice
    When 2 requests are sent to endpoint e0
    And 2 seconds pass for the endpoint view
    And endpoint e0 reports 2 running and 0 queued, measured 1 seconds ago
    Then endpoint e0 has a load of 2

  Scenario: Work that ended after the report was measured is taken off
    When 2 requests are sent to endpoint e0
    And 2 seconds pass for the endpoint view
    And all requests end
    And endpoint e0 reports 2 running and 0 queued, measured 1 seconds ago
    Then endpoint e0 has a load of 0

  Scenario: A crossed older report is ignored
    When endpoint e0 reports 3 running and 0 queued, measured 0 seconds ago
    And endpoint e0 reports 9 running and 0 queued, measured 5 seconds ago
    Then endpoint e0 has a load of 3

  Scenario: Peers' work counts until the peer is gone
    When peer n1 has 4 requests at endpoint e0
    And peer n2 has 1 requests at endpoint e0
    And peer n1 has 2 requests at endpoint e0
    Then endpoint e0 has a load of 3
    When peer n1 is gone
    Then endpoint e0 has a load of 1

  Scenario: Three failed connections open the circuit
    When endpoint e0 fails 2 times with CONNECT_FAILED
    Then endpoint e0 is available
    When endpoint e0 fails 1 times with CONNECT_FAILED
    Then endpoint e0 is not available

  Scenario: A silent pooled connection does not count by itself
    When endpoint e0 fails 9 times with SILENT_POOLED
    Then endpoint e0 is available
    When endpoint e0 fails 3 times with SILENT_FRESH
    Then endpoint e0 is not available

  Scenario: An endpoint that fails at once does not go on drawing requests
    When endpoint e0 fails 5 times with FAILED
    Then endpoint e0 is available
    When endpoint e0 fails 1 times with FAILED
    Then endpoint e0 is not available

  Scenario: A success between them starts the count of failures again
    When endpoint e0 fails 5 times with FAILED
    And endpoint e0 answers
    And endpoint e0 fails 5 times with FAILED
    Then endpoint e0 is available

  Scenario: A crash blamed on a quarantined request does not count
    When endpoint e0 crashes 9 times due to a quarantined request
    Then endpoint e0 is available

  Scenario: A half-open circuit lets one probe through
    When endpoint e0 fails 3 times with CONNECT_FAILED
    And 2 seconds pass for the endpoint view
    Then endpoint e0 is available
    When 1 requests are sent to endpoint e0
    Then endpoint e0 is not available
    When endpoint e0 answers
    Then endpoint e0 is available

  Scenario: A probe that ends without a verdict frees the next one
    When endpoint e0 fails 3 times with CONNECT_FAILED
    And 2 seconds pass for the endpoint view
    And 1 requests are sent to endpoint e0
    And all requests end
    Then endpoint e0 is available

  Scenario: The end of an older request does not let a second probe through
    When 1 requests are sent to endpoint e0
    And endpoint e0 fails 3 times with CONNECT_FAILED
    And 2 seconds pass for the endpoint view
    And a probe is sent to endpoint e0
    And all requests end
    Then endpoint e0 is not available

  Scenario: A failed probe opens the circuit again
    When endpoint e0 fails 3 times with CONNECT_FAILED
    And 2 seconds pass for the endpoint view
    And 1 requests are sent to endpoint e0
    And endpoint e0 fails 1 times with CONNECT_FAILED
    Then endpoint e0 is not available

  Scenario: Draining can be undone
    When endpoint e0 is set to drain
    Then endpoint e0 is not available
    When endpoint e0 is set to stop draining
    Then endpoint e0 is available

  Scenario: No order of events makes a leaving endpoint available
    Then in any order of events a leaving endpoint is never available

  Scenario: A load report that is old no longer counts
    When endpoint e0 reports 3 running and 1 queued, measured 0 seconds ago
    And 2 seconds pass for the endpoint view
    And reports older than 1 seconds expire
    Then endpoint e0 has a load of 0
    When peer n1 has 2 requests at endpoint e0
    Then endpoint e0 has a load of 2

  # A single disturbed moment must not pass for the speed of the endpoint.
  Scenario: Reported work times are kept as mean and spread
    When endpoint e0 reports the work times 1 1 1 1 5 1 1 1
    Then endpoint e0 takes between 1.3 and 1.6 with a spread above 1
    When 10 seconds pass for the endpoint view
    Then endpoint e0 takes between 1 and 1.1 with a spread above 0

  # Services without the fourth figure keep their placement.
  Scenario: A service that reports work time is known by its reports
    When endpoint e0 reports 3 running and 1 queued, measured 0 seconds ago
    Then the room of the service does not report work time
    When endpoint e0 reports the work times 1
    Then the room of the service reports work time

  Scenario: A service that reports work time to a peer is known by the peer
    When a peer has seen the work time of the service
    Then the room of the service reports work time

  # A holder that places hundreds of requests a second saw none of them for
  # 0.5 to 1 s.
  Scenario: What a holder placed counts at once and until it has ended
    Given the service reports work time
    When 3 requests are placed at endpoint e0 for 0.5 seconds
    Then 3 placed and 0 other requests are at endpoint e0
    When 0.6 seconds pass for the endpoint view
    Then 0 placed and 0 other requests are at endpoint e0

  # Counted twice, a busy endpoint would pass for a full one.
  Scenario: A placement that the aggregate contains is not counted twice
    Given the service reports work time
    When 3 requests are placed at endpoint e0 for 2 seconds
    And 0.7 seconds pass for the endpoint view
    And 2 requests are placed at endpoint e0 for 2 seconds
    And the peers count 4 requests at endpoint e0, 0.5 seconds ago
    Then 5 placed and 1 other requests are at endpoint e0

  Scenario: A placement that is not sent is taken back
    Given the service reports work time
    When 2 requests are placed at endpoint e0 for 2 seconds
    And a placement at endpoint e0 is withdrawn
    Then 1 placed and 0 other requests are at endpoint e0
    When 3 seconds pass for the endpoint view
    Then 0 placed and 0 other requests are at endpoint e0

  # A stale count of short requests would keep an idle endpoint idle.
  Scenario: An old count of others falls back to the usual number
    Given the service reports work time
    When the peers count 0 requests at endpoint e0, 0 seconds ago
    And 1 seconds pass for the endpoint view
    And the peers count 8 requests at endpoint e0, 0 seconds ago
    Then of the requests counted at endpoint e0 8 are expected after 0 s
    And of the requests counted at endpoint e0 3 are expected after 1 s

  Scenario: Placements are bounded
    Given the service reports work time
    When 600 requests are placed at endpoint e0 for 2 seconds
    Then 512 placed and 0 other requests are at endpoint e0

  # Admission by room would let in what no endpoint has the memory for.
  Scenario: The room of a service shows its memory and its backlog
    Given the service reports work time
    And its endpoints have 1000 tokens of memory
    When 2 requests of 100 tokens are placed at endpoint e0 for 2 seconds
    And the peers count 4 requests at endpoint e0, 0 seconds ago
    And 1 seconds pass for the endpoint view
    Then 4 requests of 400 tokens use the room for 4 s
