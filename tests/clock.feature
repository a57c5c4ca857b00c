Feature: Clock

  Scenario: A manual clock stands still until it is advanced
    Given a manual clock
    When the manual clock is advanced by 2.5 seconds
    Then the manual clock has moved by 2.5 seconds
