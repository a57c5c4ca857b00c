@site
Feature: Complete answers over real processes

  Scenario: A stream ends with the whole answer
    When a chat of 40 tokens is streamed from instance 1
    Then the answer is complete

  Scenario: A truncated answer is resumed
    Given every engine truncates its next answer
    When a chat of 40 tokens is streamed from instance 1
    Then the answer is complete

  Scenario: A crossed answer is not taken
    Given every engine answers its next call with the answer to another
    When a chat of 40 tokens is streamed from instance 2
    Then the answer is complete

  Scenario: Connections that go silent do not hold up a chat
    Given a chat was streamed from instance 1 before
    And every engine goes silent on open connections
    When a chat of 10 tokens is streamed from instance 1
    Then the answer is complete

  Scenario: An engine killed in the middle of a stream is replaced by another
    When a chat of 100 tokens is streamed from instance 1 and its engine is killed
    Then the answer is complete

  Scenario: A caller that has gone is cancelled at the engine
    When a caller disconnects in the middle of a chat of 500 tokens
    Then every engine is idle within 5 seconds

  Scenario: A caller that comes back gets the rest of its answer
    When a caller disconnects in the middle of a chat of 60 tokens
    And the caller requests the rest from another instance
    Then both parts together are the complete answer

  Scenario: A caller with another key does not get the rest
    When a caller disconnects in the middle of a chat of 60 tokens
    And another account requests the rest
    Then the request is refused as unknown_request

  Scenario: A request that crashes engines is refused everywhere after two
    Given two more engines
    When a prompt that crashes every engine is sent to instance 1
    Then the request is refused as request_quarantined
    And instances 2 and 3 refuse the prompt at once
    And 2 engines have crashed

  Scenario Outline: Bad input gets a typed refusal that was not run
    When bad input such as <what> is sent
    Then the input is refused with <status> as <kind> and not run

    Examples:
      | what                  | status | kind                     |
      | a chat without a key  | 401    | unauthenticated          |
      | a chat of a stranger  | 403    | forbidden                |
      | an unknown service    | 404    | unknown_service          |
      | an unknown class      | 404    | unknown_path             |
      | a body that is no JSON | 400   | malformed_request        |
      | a chat of -1 tokens   | 400    | malformed_request        |
      | an oversize body      | 413    | request_too_large        |
      | a passed deadline     | 408    | deadline_passed          |
      | a keyless booking     | 400    | idempotency_key_required |
      | a booking key without its time | 400 | malformed_request  |
