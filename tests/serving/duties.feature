Feature: Duties of the lease holder: usage reports and endpoint orders

  Scenario: Each window is reported once, in order
    Given a usage reporter over a store
    When 3 requests begin in each of 4 windows and 2 windows follow
    Then windows 20 to 23 are reported with 3 requests each

  Scenario: A successor repeats the last report byte for byte
    Given a usage reporter over a store
    When a report is stored and its sender dies before it is accepted
    And a successor with additional counts takes over
    Then all reports of a window are equal

  Scenario: A report whose answer was lost is repeated unchanged
    Given a usage reporter over a store
    When the answer to a report is lost
    Then all reports of a window are equal

  Scenario: Nothing is reported by an instance that lost the lease
    Given a usage reporter over a store
    When the lease is lost before a report is sent
    Then nothing is reported

  Scenario Outline: A clock that jumps and comes back moves no request
    Given a usage reporter over a store
    When the clock jumps by <step> seconds for 6 seconds
    Then windows 20 and 21 are reported with 3 requests each

    Examples:
      | step |
      | 2    |
      | -2   |
      | 60   |

  Scenario: A load is met by orders, and a refusal by the other market
    Given an endpoint scaler for a service with 2 endpoints
    When prompts keep 1 engines busy for 10 seconds
    Then at least 3 on-demand endpoints are ordered
    When reclaimable endpoints are refused for 10 seconds
    Then the orders of on-demand endpoints cover the need

  # Pattern: reclaimable endpoints cannot be had for a while, soon after the
  # load began. Those ordered at once take the place of on-demand ones.

  Scenario: Reclaimable endpoints are ordered as soon as there is a load
    Given an endpoint scaler for a service with 2 endpoints
    When prompts keep 1 engines busy for 3 seconds
    Then at least 2 reclaimable endpoints are ordered
    And no order releases an endpoint

  Scenario: Endpoints are released once the load was observed
    Given an endpoint scaler for a service with 2 endpoints
    And 6 on-demand endpoints more serve
    When prompts keep 0.1 engines busy for 4 seconds
    Then no order releases an endpoint
    When prompts keep 0.1 engines busy for 8 seconds
    Then an order releases endpoints

  # Guards against capacity that is ordered only once the rest is too small,
  # and against orders that release what the operator may want back.
  Scenario: An evacuated failure domain counts as one without endpoints
    Given an endpoint scaler for a service with 2 endpoints
    When prompts keep 1.2 engines busy for 12 seconds
    And 3 on-demand endpoints serve in each domain and d1 is evacuated
    Then as many endpoints are ordered in d2 as the need requires
    And nothing is ordered or released in d1
    When d1, d2 are evacuated for 20 seconds
    Then nothing is ordered or released in d1
    When the evacuations end for 10 seconds
    Then d1 gets orders again

  # Guards against old endpoints that are released because those of a version
  # under trial run beside them.
  Scenario: Nothing is ordered or released while the version is moved
    Given an endpoint scaler for a service with 2 endpoints
    When the service's version is moved and prompts keep 1.2 engines busy
    Then nothing is ordered
    When prompts keep 1.2 engines busy for 12 seconds
    Then at least 3 on-demand endpoints are ordered

  Scenario: Nothing is ordered before there is any load
    Given an endpoint scaler for a service with 2 endpoints
    When 20 seconds pass without load
    Then nothing is ordered

  Scenario: An instance that gives the duties up does not take them again
    Given two duty managers over one store
    When 6 seconds pass and the holder releases the duties
    And 6 seconds pass for both duty managers
    Then the other duty manager holds the duties and the former stays inactive

  # Guards against a call that reaches the platform after the successor's: the
  # lease is released while a duty is in the middle of a call.
  Scenario: The duties are released only after the running call has ended
    Given two duty managers over one store
    When 6 seconds pass and the holder releases the duties in the middle of a call
    Then the lease is not released before the call has ended
    And it is released once the call has ended

  # Guards against a planned stop that hangs, and against a release, while a
  # duty's call does not end.
  Scenario: The duties lapse if the running call does not end
    Given two duty managers over one store
    When 6 seconds pass and the holder releases the duties in the middle of a call
    And the call does not end in the time that a release may wait
    Then the release has returned and the lease still names the holder
    And no further duty is performed by the former holder

  Scenario: A successor hears what the peers have counted before it reports
    Given a usage reporter over a store
    When a successor takes over and merges a count of 5 requests a second later
    Then the report of that window counts all 5 requests

  # Guards against serving endpoints that are released, and against orders
  # that are left out, since cold endpoints count as if they were warm.
  Scenario: A cold endpoint counts by the load that it takes on
    Given an endpoint scaler for a service with 2 endpoints
    And 6 on-demand endpoints more serve
    And the endpoint scaler's service limits its cold endpoints
    When prompts keep 0.1 engines busy for 12 seconds while all endpoints are cold
    Then no order releases an endpoint
    When prompts keep 0.1 engines busy for 8 seconds
    Then an order releases endpoints
