Feature: Counts of the attempts at a service that is moved

  # Guards against a bad version whose failures count as successes since they
  # are passed on, and against failures that say nothing about the version.
  Scenario Outline: An attempt counts by what its endpoint did
    Given a forwarder whose endpoints answer in turn: <outcomes>
    And the attempts are counted for a move to the version in use
    When a <kind> request is forwarded
    Then the attempts count as: <counts>

    Examples:
      | outcomes             | kind             | counts                 |
      | whole                | IDEMPOTENT       | route v1 ok            |
      | failed               | NON_IDEMPOTENT   | route v1 bad           |
      | failed, whole        | IDEMPOTENT       | route v1 bad, route v1 ok |
      | refused, whole       | IDEMPOTENT       | route v1 ok            |
      | unsent, whole        | IDEMPOTENT       | route v1 ok            |
      | silent, whole        | IDEMPOTENT       | route v1 bad, route v1 ok |
      | half stream          | STREAM           | route v1 timed, route v1 bad |
      | half stream, rest of stream | RESUMABLE_STREAM | route v1 timed, route v1 bad, route v1 ok |

  # Guards against callers that give up on a slow version and make it look good.
  Scenario: An attempt whose caller leaves counts neither as good nor as bad
    Given a forwarder whose endpoints answer in turn: half stream
    And the attempts are counted for a move to the version in use
    When the caller of a stream leaves after its first event
    Then the attempts count as: route v1 timed

  Scenario Outline: A request without an answer counts as slow in time
    Given the attempts are counted, with a usual time of <usual> s
    When an attempt waits for <waited> s
    Then it has counted with <count>

    Examples:
      | usual | waited | count     |
      | 0.1   | 0.35   | no time   |
      | 0.1   | 0.45   | 0.45 s    |
      | 0.01  | 0.3    | 0.3 s     |
      | inf   | 2.9    | no time   |
      | inf   | 3.1    | 3.1 s     |

  # Guards against messages of a peer that end the moves of an instance.
  Scenario: Malformed messages of a peer don't end a move
    Given 3 instances with 40 requests a second, and a new version that is good
    When the move is ordered for 16 s
    And a peer sends malformed counters, verdicts and records
    Then it is completed by its deadline
