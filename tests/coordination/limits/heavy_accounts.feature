Feature: An account far over its quota

  # Guards against urgent short requests that are refused because a long one of
  # the same account has left a debt, and against long ones that are shut out.
  Scenario: Short requests of a heavy account are served before long ones
    Given a pooled quota of 100000 a second whose debts are limited
    When 5 seconds of 6 times the quota arrive, half of it in requests of 12000 and half in requests of 600
    Then at least 0.8 of the tokens of the quota are used in each second
    And at least 0.6 of the tokens go to the short requests, and more than where debts are not limited
    And at least 0.15 of the tokens go to the long requests

  # Guards against a bound that limited debts would break.
  Scenario: The bound of a quota holds while debts are limited
    Given a pooled quota of 100000 a second whose debts are limited
    When 5 seconds of 6 times the quota arrive, half of it in requests of 12000 and half in requests of 600
    Then no second uses more than the quota, its burst and one long request

  # Guards against a holder that is busy with refusals of one account.
  Scenario: A refusal answers for requests that cost as much
    Given an account refused for a request of 600 tokens for 0.1 seconds
    Then a request of 600 tokens is refused without asking for 0.1 seconds
    And a request of 500 tokens is sent to the holder

  Scenario: A refusal ends early where it names a long wait
    Given an account refused for a request of 600 tokens for 9 seconds
    Then a request of 600 tokens is refused without asking for 0.25 seconds

  # Guards against refusals within the quota, and against more than the quota,
  # where the credit is held by a few of many instances.
  Scenario Outline: An account within its quota is hardly refused while debts are limited
    Given a quota of <rate> a second for requests of <mean> tokens over <nodes> instances in <domains> domains
    And endpoints whose services limit the debts of accounts
    When 0.55 times the quota is requested for 20 seconds
    Then at most 1 in 200 requests was refused

    Examples:
      | rate   | mean | nodes | domains |
      | 150000 | 3000 | 24    | 6       |
      | 150000 | 3000 | 76    | 3       |
      | 600000 | 3000 | 300   | 6       |

  Scenario Outline: All instances together keep the bound while debts are limited
    Given a quota of <rate> a second for requests of 8000 tokens over <nodes> instances in <domains> domains
    And endpoints whose services limit the debts of accounts
    When <demand> times the quota is requested for 20 seconds
    Then no window exceeds the bound

    Examples:
      | rate   | nodes | domains | demand |
      | 40000  | 76    | 3       | 3      |
      | 150000 | 195   | 6       | 8      |
