Feature: Quotas over all instances

  Scenario: An account within its quota is never refused
    Given a quota of 1000 a second with burst 1000 over 4 instances
    When each instance spends 200 tokens a second for 20 seconds
    Then no request was refused

  Scenario Outline: All instances together keep the bound in any window
    Given a quota of 1000 a second with burst 1000 over <nodes> instances
    When each instance spends <rate> tokens a second for 20 seconds
    Then no window of 8 s has more than the quota, a tenth and 2000

    Examples:
      | nodes | rate |
      | 1     | 9000 |
      | 4     | 3000 |
      | 8     | 2000 |

  Scenario: An instance that hears nobody spends its equal part
    Given a quota of 1000 a second with burst 1000 over 8 instances
    And the instances hear nothing of each other
    When each instance spends 2000 tokens a second for 20 seconds
    Then no window of 8 s has more than the quota, a tenth and 2000

  Scenario Outline: Restarts of all instances give no burst out twice
    Given a quota of 1000 a second with burst 4000 over <nodes> instances
    When each instance spends 3000 tokens a second for 10 seconds
    And all instances start again
    And each instance spends 3000 tokens a second for 10 seconds
    Then no window of 8 s has more than the quota, a tenth and 2000

    Examples:
      | nodes |
      | 1     |
      | 4     |

  Scenario: The part follows the demand
    Given a quota of 1000 a second with burst 1000 over 2 instances
    When instance 0 spends 800 and instance 1 spends 50 tokens a second
    Then no request was refused

  Scenario: A small request passes beside the debt of a large one
    Given a quota of 1000 a second with burst 100000 over 1 instances
    When instance 0 spends 300000 tokens at once
    Then a request of 400 tokens is admitted
    And a request of 2000 tokens is refused with a time to return

  Scenario: An account without a limit is not counted
    Given a quota of 0 a second with burst 0 over 1 instances
    Then a request of 1000000 tokens is admitted
