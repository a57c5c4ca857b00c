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

  # Guards against the whole allowance being given anew to processes that do
  # not know what was spent before their start, nor how many share it
  # (review/4).
  Scenario Outline: Starts of processes do not renew the allowance
    Given a retry budget of ratio 0.2 and slack 56 over <nodes>
    When each instance has <requests> requests and sends all the retries allowed
    And <restarted> instances are started again at the same time, 3 times
    Then all retries together stay within the allowance

    Examples:
      | nodes | requests | restarted |
      | 1     | 40       | 1         |
      | 8     | 40       | 8         |
      | 8     | 40       | 4         |
      | 195   | 10       | 195       |

  # Guards against the same in a planned restart of all instances in turn.
  Scenario Outline: A restart in turn does not renew the allowance
    Given a retry budget of ratio 0.2 and slack 56 over <nodes>
    When each instance has 40 requests and sends all the retries allowed
    And all instances are started again, one each second
    Then all retries together stay within the allowance

    Examples:
      | nodes |
      | 4     |
      | 8     |

  # Guards against the share of instances that have left being given anew to
  # the others, within the window in which they spent it.
  Scenario: Instances that leave do not renew the allowance
    Given a retry budget of ratio 0.2 and slack 56 over 8
    When each instance has 40 requests and sends all the retries allowed
    And 6 instances leave and the others send all the retries allowed
    Then all retries together stay within the allowance

  # Guards against a cautious start that refuses what a calm day needs.
  Scenario: A started instance soon repeats one in ten requests
    Given a retry budget of ratio 0.2 and slack 56 over 8
    When one instance is started again and 1 in 10 of its 100 requests fails
    Then at least 9 of them are repeated

  Scenario: A started instance gets its share of the slack after the window
    Given a retry budget of ratio 0.2 and slack 56 over 8
    When all instances are started again without requests
    Then 9 seconds after the start 1 retries of each are allowed
    And 11 seconds after the start 4 retries of each are allowed

  # Guards against a share of the slack for each instance of a fleet that none
  # of them knows yet.
  Scenario: A started instance that knows no other takes nothing of the slack
    Given a retry budget of ratio 0.2 and slack 56 over 8
    When all instances are started again and know no other
    Then 1 seconds after the start 0 retries of each are allowed

  # Guards against a request that cannot be repeated after a crash, because
  # attempts beside others that went on have used the whole share.
  Scenario Outline: Speculative retries leave a part for failed attempts
    Given a retry budget of ratio 0.2 and slack 56 over <nodes>
    When an instance without requests sends all the speculative retries allowed
    Then it has sent <speculative> and may send <left> after failed attempts

    Examples:
      | nodes | speculative | left |
      | 2     | 16          | 6    |
      | 8     | 4           | 1    |
      | 40    | 1           | 0    |

  # Guards against retries that are lost although nothing was sent with them, or
  # that are given back although the window has already dropped them.
  Scenario Outline: A retry that was not sent may be sent once more
    Given a retry budget of ratio 0.2 and slack 56 over 8
    When an instance without requests sends all the speculative retries allowed
    And it gives one of them back <seconds> s later
    Then it may send <speculative> retries more, all of them speculative

    Examples:
      | seconds | speculative |
      | 1       | 1           |
      | 11      | 4           |
