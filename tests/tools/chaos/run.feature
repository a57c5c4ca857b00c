Feature: Short run with injected faults

  Scenario: A fixed seed over real processes keeps every invariant
    When tools.chaos runs seed 33 for 10 seconds
    Then tools.chaos ends with a clean verdict
