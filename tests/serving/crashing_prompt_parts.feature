Feature: Prompt parts that crash endpoints

  # A part of a prompt may crash each endpoint that begins to answer it. The
  # requests that have it are all different and arrive at any instance; others
  # share their client account and all of their other parts.

  # Guards against each such request being taken for a new one: without a
  # common fingerprint they crash one endpoint after the other.
  Scenario: Requests with a part that crashed three endpoints are refused
    Given 2 instances before 9 endpoints that the part "bad" crashes
    When 1 requests with the parts "first" arrive at each instance
    And 2 requests with the parts "first, bad" arrive at each instance
    Then 3 endpoints have crashed
    And a request with the parts "first, bad" is refused at each instance as not run
    And a request with the parts "other, bad" is refused at each instance as not run

  # Guards against sound requests being refused for the parts that they share
  # with those that crash endpoints.
  Scenario: Sound requests with the same other parts are served
    Given 2 instances before 9 endpoints that the part "bad" crashes
    When 1 requests with the parts "first, second" arrive at each instance
    And 2 requests with the parts "first, second, bad" arrive at each instance
    Then a request with the parts "first, second" is served at each instance
    And a request with the parts "first, second, bad" is refused at each instance as not run

  # Guards against the shared first part being refused for good when no answer
  # to it had begun before the crashes.
  Scenario: Sound requests are served when nothing was answered before
    Given 2 instances before 9 endpoints that the part "bad" crashes
    When 2 requests with the parts "first, bad" arrive at each instance
    Then a request with the parts "first" is served at each instance
    And a request with the parts "first, bad" is refused at each instance as not run

  # Guards against two parts that always came together hiding each other.
  Scenario: One more crash decides between two parts that came together
    Given 2 instances before 9 endpoints that the part "bad" crashes
    When 2 requests with the parts "first, bad" arrive at each instance
    And 1 requests with the parts "other, bad" arrive at each instance
    Then 4 endpoints have crashed
    And a request with the parts "third, bad" is refused at each instance as not run
    And a request with the parts "first" is served at each instance

  # Guards against requests being blamed that were only running beside the
  # cause, in a failure of many endpoints at once.
  Scenario: Parts of answered requests are not blamed for a failure of endpoints
    Given 2 instances before 9 endpoints that the part "bad" crashes
    When 1 requests with the parts "first, second" arrive at each instance
    And 4 endpoints crash while each has a request with the parts "first, second"
    Then a request with the parts "first, second" is served at each instance

  # Guards against the same where an answer comes in one piece, not as events.
  Scenario: Answers in one piece clear their parts too
    Given 1 instances before 9 endpoints that the part "bad" crashes
    And the requests of the route are IDEMPOTENT
    When 1 requests with the parts "first, second" arrive at each instance
    And 4 endpoints crash while each has a request with the parts "first, second"
    Then a request with the parts "first" is served at each instance
    And a request with the parts "second" is served at each instance

  # Guards against the part that is specific to a request being blamed.
  Scenario: The last part of a prompt is not blamed
    Given 1 instances before 9 endpoints that the part "bad" crashes
    When 3 endpoints crash while each has a request with the last part "session"
    Then a request with the parts "session" is served at each instance
