Feature: Requests before endpoints that answer twice, late or not whole

  # Guards against answers that are not the request's own, not whole, or joined
  # from two runs, and against "not run" for a request that ran once.
  Scenario: Every success is one run's whole answer
    Given 4 stuttering endpoints
    When 12 callers send 40 requests of each kind to them
    Then at least 1 in 3 of them end with a success
    And each success is the whole answer of one run
    And no request that may not be repeated runs twice or is told "not run" after a run
