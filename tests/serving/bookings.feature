Feature: Booking handler

  # Guards against a booking that reaches an endpoint which the instance knows to
  # leave since the claim was written.
  Scenario: An endpoint that leaves while a booking is claimed does not get it
    Given a booking handler with endpoints e1 and e2
    When e1 leaves while a booking is claimed for it
    Then only e2 gets the booking, and the claim for e1 says that it has not run
    And the load of e1 is withdrawn and that of e2 has ended

  # Guards against a look-up that reaches an endpoint which the instance knows to
  # leave.
  Scenario: An endpoint that leaves after its choice gets no look-up
    Given a look-up handler with endpoints e1 and e2
    When e1 leaves after it was chosen for a look-up
    Then only e2 gets the look-up
    And the load of e1 is withdrawn and that of e2 has ended

  Scenario Outline: A stale read is no proof that an earlier send has not run
    Given a booking handler without endpoints whose store returns no claim
    When a booking is sent for the <number> time
    Then the booking handler refuses it as <ran>

    Examples:
      | number | ran             |
      | first  | not run         |
      | second | outcome unknown |
