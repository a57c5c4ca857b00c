@site
Feature: Bookings over real processes run at most once

  Scenario: The same booking sent to two instances at once runs once
    When the same booking is sent to every instance at once
    Then every answer names the same booking
    And the booking ran once

  Scenario: A lost answer of the store does not lose or double a booking
    Given the store drops its next 1 answers after the effect
    When a booking is sent to instance 1
    Then the booking is made
    And the booking ran once

  Scenario: An endpoint that drops its answer has made the booking once
    Given every booking endpoint drops its next answer after the effect
    When a booking is sent to instance 1
    Then the booking is made
    And the booking ran once

  Scenario: An answer that belongs to another booking is not taken
    Given every booking endpoint answers its next call with the answer to another
    When a booking is sent to instance 1
    Then the booking is made
    And the booking ran once

  Scenario: A connection that goes silent does not double a booking
    Given a booking was sent to instance 1 before
    And every booking endpoint goes silent on open connections
    When a booking is sent to instance 1
    Then the booking is made
    And the booking ran once

  Scenario: A refusal by the endpoint is not run, and the key may be used again
    Given every booking endpoint refuses its next call
    When a booking is sent to instance 1
    Then the booking is refused as endpoint_refused and not run
    When the faults of the booking endpoints are cleared
    And the booking is sent again to instance 2
    Then the booking is made
    And the booking ran once

  Scenario: With the store down a booking is refused at once and not run
    Given the store is unavailable
    When a booking is sent to instance 1
    Then the booking is refused as store_unavailable and not run
    And the refusal came within 3 seconds and says when to retry
    And the booking ran 0 times

  Scenario: With the store down a resend is not told that it was not run
    When a booking is sent to instance 1
    And the store becomes unavailable
    And the booking is sent again to instance 2
    Then the booking is made or refused with unknown outcome
    And the booking ran once

  Scenario: The same key with another body is refused
    When a booking is sent to instance 1
    And another body is sent with the same key to instance 2
    Then the booking is refused as idempotency_key_reused and not run
    And the booking ran once

  Scenario: An instance killed in the middle does not double a booking
    Given every booking endpoint is slow
    When a booking is sent to instance 1, which is killed meanwhile
    And the booking is sent again to another instance until it succeeds
    Then the booking is made
    And the booking ran once

  Scenario: An endpoint killed after the effect leaves the outcome unknown
    Given every booking endpoint crashes after its next effect
    When a booking is sent to instance 2
    Then the booking is refused as outcome_unknown with unknown outcome
    When the booking is sent again to instance 3
    Then the booking is refused as outcome_unknown with unknown outcome
