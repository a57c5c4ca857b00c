Feature: Booking desk

  Scenario Outline: A stale read is no proof that an earlier send has not run
    Given a booking desk without endpoints whose store shows no claim
    When a booking is sent for the <number> time
    Then the desk refuses it as <ran>

    Examples:
      | number | ran             |
      | first  | not run         |
      | second | outcome unknown |
