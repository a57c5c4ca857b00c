Feature: Periodic calls in background threads

  Scenario: A failing call is repeated at growing intervals
    Given a loop of 0.1 seconds that backs off to 0.8 seconds
    When its call fails 6 times
    Then the waits are at most 0.1, 0.2, 0.4, 0.8, 0.8, 0.8 seconds
    And no wait is below three quarters of that
    When its call succeeds
    Then the wait is 0.1 seconds

  # Guards against a change that is read late because a pause follows the
  # timeout of a call which hung at the end of a cut.
  Scenario: A call that hangs is repeated without a further pause
    Given a loop of 0.1 seconds that backs off to 0.8 seconds
    When its call fails 6 times after 1.0 seconds each
    Then the waits are at most 0.1, 0.1, 0.1, 0.1, 0.1, 0.1 seconds

  Scenario: A call may ask for another interval
    Given a loop of 0.1 seconds that backs off to 0.8 seconds
    When its call returns 2.5
    Then the wait is 2.5 seconds

  Scenario: Loops that share a thread keep their intervals
    Given a thread that shares loops of 0.2 and 1.0 seconds
    When 2 seconds pass at the loops
    Then the first was called 9 to 11 times and the second 2 to 3 times

  Scenario: An exception in one loop does not stop the others
    Given a thread that shares loops of 0.2 and 1.0 seconds
    And the call of the second loop raises an exception
    When 2 seconds pass at the loops
    Then the first was called 9 to 11 times and the second 2 to 3 times
