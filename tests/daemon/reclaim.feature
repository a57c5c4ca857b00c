@site
Feature: Reclaims over real processes cut off no accepted request

  Scenario: A stream leaves an engine that is reclaimed
    When a chat of 200 tokens is streamed and its engine is reclaimed after 1 second
    Then the answer is complete
    And the leaving engine got no new work later than 3 seconds after its notice

  Scenario: Streams survive the reclaim of a whole failure domain
    When 6 chats of 150 tokens are streamed and a failure domain is reclaimed after 1 second
    Then every answer is complete

  Scenario: SIGTERM cuts off no request
    When a chat of 100 tokens is streamed from an instance that gets SIGTERM
    Then the answer is complete
    And the instance ends with exit code 0

  Scenario: A stream longer than the grace goes on at another instance
    When a chat of 700 tokens is streamed from an instance that gets SIGTERM
    Then the caller receives the location of the rest
    And the rest from another instance completes the answer
    And the instance ends with exit code 0

  Scenario: A reclaimed instance hands its streams over before it dies
    When a chat of 200 tokens is streamed from an instance that is reclaimed and killed
    Then the caller receives the location of the rest
    And the rest from another instance completes the answer

  Scenario: A whole answer of a reclaimed instance is fetched elsewhere
    When a chat of 100 tokens is requested without streaming from an instance that is reclaimed and killed
    Then the caller is redirected to the location of the answer
    And the complete answer is fetched from another instance

  Scenario: An instance and the engine of its stream are reclaimed at once
    When a chat of 200 tokens is streamed from an instance that is reclaimed with its engine
    Then the caller receives the location of the rest
    And the rest from another instance completes the answer

  Scenario: An instance that stops answers every connection that it accepted
    When callers keep sending to an instance that gets SIGTERM
    Then every call was answered or found no listener

  # Regression: a connection that was idle for a quarter of a second was
  # closed although its caller had yet to send.

  Scenario: An instance that stops waits for callers that have just connected
    When callers that send 1 second after connecting meet an instance that gets SIGTERM
    Then every call was answered or found no listener
