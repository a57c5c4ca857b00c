Feature: Placement by work

  # Holders saw what they had placed only 0.5 to 1 s later, and filled the
  # endpoint that looked idle; baselines run beside it in the same scenario.
  Scenario Outline: Plain requests are late half as often as by any baseline
    Given <endpoints> plain endpoints of speeds 0.6 to 1.6 that take <ms> ms
    When <instances> instances with <holders> holders place 0.8 of their load
    Then at most 0.5 of the best baseline's requests are late

    Examples:
      | endpoints | ms | instances | holders |
      | 4         | 90 | 89        | 8       |
      | 4         | 45 | 89        | 8       |
      | 8         | 90 | 200       | 12      |
