Feature: Short soak over a restore of the store

  # Guards against two holders of the duties, usage reported twice with
  # different counts, a configuration that goes back, requests to endpoints that
  # have left and lost answers, while restores of the store, signals and changes
  # overlap.
  Scenario: A fixed seed with restores of the store breaks no rule
    When tools.soak runs seed 102 with 3 instances for 35 seconds
    Then tools.soak finds no violation
