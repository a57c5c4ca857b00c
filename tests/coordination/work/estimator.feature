Feature: Estimates of work

  # The lengths of a route that has changed were remembered for good.
  Scenario: Lengths are learned and forgotten
    Given a work estimator that has seen 100 answers of 40 events
    Then a request is expected to have 38 to 42 events
    When the work estimator sees 200 answers of 10 events
    Then a request is expected to have 9 to 12 events

  Scenario: The maximum bounds the length before one is known
    Given a work estimator that has seen 0 answers of 40 events
    Then a request of at most 5 tokens is expected to have 1 to 5 events

  # A hint is far off for single requests, but not for all of a route.
  Scenario: A hint counts as far as it has proven right
    Given a work estimator that has seen 60 answers of 40 events
    Then a request with the hint 400 is expected to have 150 to 400 events
    And a request with the hint 4 is expected to have 3 to 39 events

  Scenario: Speeds of several instances add up and are bound to the endpoint
    Given two speed tables that saw endpoint e1 take 2 and 4 times as long
    Then together they find e1 to take 2.5 to 3.1 times as long
    And they find nothing of a replaced endpoint
    And 60 seconds later e1 is taken for an average endpoint
