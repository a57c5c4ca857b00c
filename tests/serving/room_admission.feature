Feature: Requests are admitted by the room of their service

  # Guards against admission by room where no endpoint reports how long work
  # takes.
  Scenario: A service without reports is admitted as before
    Given 3 instances with 1000 tokens of credit each
    And every instance sees a full room without reports of work time
    When the first instance admits 300 requests of 1 token
    Then no request was refused for lack of room

  # Guards against quota credit lost by requests that were not served.
  Scenario: A request without room costs no credit
    Given 3 instances with 1000 tokens of credit each
    And every instance sees a full room
    When the first instance admits 300 requests of 1 token
    Then requests were refused for lack of room, marked as not run
    And the first instance has 1000 tokens left without the admitted ones

  # Guards against a holder that decides without the demand of its accounts,
  # and against an answer that an instance of the last build cannot decode.
  Scenario Outline: Holders decide once all instances decode the question
    Given 3 instances with 1000 tokens of credit each
    And every instance sees a full room
    And the second and third instance decide at protocol level <level>
    When the first instance admits 300 requests of 1 token
    Then requests were refused for lack of room, marked as not run
    And the decisions were made by the <decider> instance

    Examples:
      | level | decider |
      | 0     | first   |
      | 1     | second  |

  # Guards against callers that are refused because a holder is silent.
  Scenario: The next holder decides when the usual one is silent
    Given 3 instances with 1000 tokens of credit each
    And every instance sees a full room
    And the second and third instance decide at protocol level 1
    And the second instance does not answer
    When the first instance admits 300 requests of 1 token
    Then the decisions were made by the third instance

  # Guards against a partition in which nobody decides.
  Scenario: An instance that reaches no holder decides about its own part
    Given 3 instances with 1000 tokens of credit each
    And every instance sees a full room
    And the second and third instance decide at protocol level 1
    And no other instance answers
    When the first instance admits 300 requests of 1 token
    Then requests were refused for lack of room, marked as not run
    And the decisions were made by the first instance

  # Guards against room that is kept for requests over their quota.
  Scenario: A request over its quota gives its room back
    Given 3 instances with 1000 tokens of credit each
    And every instance sees a full room
    And the second and third instance decide at protocol level 1
    And the second instance owes 3700 tokens
    When the first instance admits 40 requests of 100 tokens
    Then 20 or more of them were refused as over the quota

  # Guards against messages that grow with the accounts.
  Scenario: The demand for room in a report is bounded
    Given 3 instances with 1000 tokens of credit each
    And every instance sees a full room
    And the second and third instance decide at protocol level 1
    And the first instance decides for 400 accounts
    Then its report of the demand for room has at most 48 entries in 1000 bytes

  # Guards against reports that instances of the last build reject.
  Scenario: No demand for room is reported below protocol level 1
    Given 3 instances with 1000 tokens of credit each
    And every instance sees a full room
    And the first instance decides for 400 accounts
    Then its report of the demand for room is empty and has no such table

  # Guards against urgent routes that endpoints treat like others, and against
  # other priorities at services that are not admitted by room.
  Scenario Outline: The priority at endpoints covers the whole range
    Given a route of priority <route> and an account of priority <account>
    When a request is accepted where admission by room is <state>
    Then it is forwarded with priority <priority> and rank <rank>

    Examples:
      | route | account | state | priority | rank |
      | 5     | none    | off   | 2        | 5    |
      | 5     | none    | on    | 5        | 5    |
      | 0     | 2       | off   | 6        | 6    |
      | 1     | 1       | on    | 4        | 4    |
      | 9     | 1       | on    | 9        | 9    |

  # Guards against refusals that an operator cannot explain.
  Scenario: Each refusal is logged and counted with its rule and inputs
    Given 3 instances with 1000 tokens of credit each
    And every instance sees a full room
    And the log and the metrics of the first instance are kept
    When the first instance admits 300 requests of 1 token
    Then each refusal for lack of room has one log line with its rule and inputs
    And the metrics count the refusals by route, rank and rule
