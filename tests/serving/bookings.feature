Feature: Booking handler

  Scenario Outline: A stale read is no proof that an earlier send has not run
    Given a booking handler without endpoints whose store returns no claim
    When a booking is sent for the <number> time
    Then the booking handler refuses it as <ran>

    Examples:
      | number | ran             |
      | first  | not run         |
      | second | outcome unknown |
