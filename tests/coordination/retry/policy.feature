Feature: Retry

  Background:
    Given a retry policy with a budget of 10 retries

  Scenario Outline: What may have run is not repeated unless idempotent
    When a <call> request fails with <kind>
    Then the retry decision is <decision>

    Examples:
      | call           | kind            | decision                  |
      | idempotent     | CONNECT_FAILED  | to try again              |
      | idempotent     | CONNECTION_LOST | to try again, fresh       |
      | idempotent     | INCOMPLETE      | to try again              |
      | idempotent     | SILENT_POOLED   | to try again, fresh       |
      | non-idempotent | CONNECT_FAILED  | to try again              |
      | non-idempotent | REFUSED         | to try again              |
      | non-idempotent | SILENT_POOLED   | to give up as unknown     |
      | non-idempotent | CONNECTION_LOST | to give up as unknown     |
      | non-idempotent | CRASHED         | to give up as unknown     |
      | non-idempotent | FAILED          | to give up as unknown     |

  Scenario: A later refusal does not hide that an attempt may have run
    When a request that may have run fails its last attempt with REFUSED
    Then the retry decision is to give up, outcome unknown

  Scenario: A retry storm is cut off by the budget
    When 1000 requests fail and nothing succeeds
    Then 10 of them were retried
    And the others failed with a retry time

  Scenario: Successes earn retries at the ratio
    When 1000 requests fail and nothing succeeds
    And 200 requests succeed
    And 1000 requests fail and nothing succeeds
    Then 10 of them were retried

  Scenario: No time is left
    When a request fails 0.01 seconds before its deadline
    Then the retry decision is to give up for its deadline

  Scenario: No retry starts past its deadline
    Then for any attempt and time no retry starts past its deadline

  Scenario: Delays are spread over the whole interval
    When 100 requests fail their third attempt with a large budget
    Then their delays are spread from near 0 to 0.2 seconds
