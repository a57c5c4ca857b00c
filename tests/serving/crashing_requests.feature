Feature: Requests that are in flight at endpoints that crash

  # The same request may be sent by many callers and to many endpoints at a
  # time. Endpoints crash by themselves, or one request crashes each of them.

  # Guards against look-ups being refused for good, by all instances, since
  # they were in flight at two endpoints that crashed (review/2).
  Scenario: A request that was served is served after crashes of endpoints
    Given 2 instances before 9 endpoints that the part "bad" crashes
    When the same request arrives at instance 0
    And the same request arrives at instance 1
    And 2 endpoints crash while each has the same request of instance 0
    Then the same request is served at each instance

  # Guards against the same at an instance that has not served it so far, as
  # after a start.
  Scenario: An instance learns from its peers that a request was served
    Given 2 instances before 9 endpoints that the part "bad" crashes
    When the same request arrives at instance 1
    And 2 endpoints crash while each has the same request of instance 0
    Then the same request is served at each instance

  # Guards against a completion at one instance that the others, which have
  # the request in quarantine, are not told of.
  Scenario: A completion ends the quarantine at every instance
    Given 2 instances before 9 endpoints that the part "bad" crashes
    And the same request is under way at instance 1
    When 2 endpoints crash while each has the same request of instance 0
    And the answer that is under way ends
    Then the same request is served at each instance

  # Guards against a request that crashes each endpoint being cleared.
  Scenario: A request that crashes each endpoint is refused at each instance
    Given 2 instances before 9 endpoints that the part "bad" crashes
    When a request with the part "bad" arrives three times at each instance
    Then 2 endpoints have crashed
