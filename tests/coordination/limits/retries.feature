Feature: Retry budget over all instances

  Scenario Outline: No instance has to ask for the sum to hold
    Given a retry budget of ratio 0.2 and slack 56 over <nodes>
    When each instance has <requests> requests and sends all the retries allowed
    Then all retries together stay within the allowance

    Examples:
      | nodes | requests |
      | 1     | 100      |
      | 8     | 0        |
      | 8     | 40       |

  Scenario: Services do not share a budget
    Given a retry budget of ratio 0.2 and slack 56 over 2
    When each instance has 10 requests and sends all the retries allowed
    Then another service may still be retried

  Scenario: What was spent is forgotten after the window
    Given a retry budget of ratio 0.2 and slack 56 over 2
    When each instance has 10 requests and sends all the retries allowed
    Then 11 seconds later retries are allowed again
