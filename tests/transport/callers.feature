Feature: HTTP responses to callers

  Scenario Outline: An instance without a document knows no booking
    Given a CallerApp without a configuration document
    When a booking is posted to it with send number <number>
    Then the application answers 503 with <ran>

    Examples:
      | number | ran             |
      | 1      | not run         |
      | 2      | outcome unknown |
