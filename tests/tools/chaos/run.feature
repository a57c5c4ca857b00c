Feature: Short run with injected faults

  Scenario: A fixed seed over real processes keeps every invariant
    When chaos runs seed 33 for 10 seconds
    Then chaos ends with a clean verdict
