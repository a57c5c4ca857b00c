Feature: Planned stops of an instance on the users' platform

  # Guards against requests whose endpoint is still at work at the end of the
  # grace time ending with a closed connection in place of an answer.
  Scenario Outline: What outlasts the grace time is answered at its end
    Given a stopping instance whose endpoints answer late
    When a <kind> request is sent <when>
    Then it is answered with 502 within the grace time, having run once
    And the endpoints were told a time within the grace, if sent after SIGTERM

    Examples:
      | kind           | when                       |
      | non_idempotent | 0.5 seconds before SIGTERM |
      | idempotent     | 0.5 seconds before SIGTERM |
      | non_idempotent | 1 second after SIGTERM     |
      | idempotent     | 1 second after SIGTERM     |

  # Guards against a retry, made after new requests are refused, that is told
  # more time than the stop leaves and is then cut off.
  Scenario: A retry late in the grace time is told what is left of it
    Given a stopping instance whose endpoints answer late
    When a request that is tried again after 3 seconds is sent 1 second after SIGTERM
    Then it is answered with 502 within the grace time, having run twice
    And the second endpoint was told at most 4 seconds

  # Guards against a stream that the end of the grace time breaks off and that
  # looks complete.
  Scenario: A stream that outlasts the grace time is not ended as whole
    Given a stopping instance whose endpoints answer late
    When a streaming request is sent 1 second after SIGTERM
    Then the stream breaks off within the grace time after its first event

  # Guards against requests being passed on that the grace time cannot hold.
  Scenario Outline: What the rest of the grace time cannot hold is refused
    Given a stopping instance whose endpoints answer late
    When a <kind> request with a goal of 6 seconds is sent 2 seconds after SIGTERM
    Then it is refused at once with a Retry-After and no endpoint has run it

    Examples:
      | kind           |
      | non_idempotent |
      | idempotent     |

  # Guards against a peer's request that is cut off at the end of the grace time.
  Scenario: A request of a peer that outlasts the grace time is answered
    Given a stopping instance whose endpoints answer late
    When a peer forwards a request 0.5 seconds before SIGTERM
    Then the peer is told within the grace time that it may have run

  # Guards against a stop that waits without need.
  Scenario: An instance without requests stops as soon as it is out of rotation
    Given a stopping instance whose endpoints answer late
    When it gets SIGTERM while no request is running
    Then it ends within 4 seconds

  # Guards against a stop that waits for callers which keep their connections
  # open although they have all of their answers.
  Scenario: A caller that keeps an idle connection does not delay the stop
    Given a stopping instance whose endpoints answer late
    When it gets SIGTERM while a caller keeps an idle connection
    Then it ends within 4 seconds

  # Guards against requests that arrive while the instance closes being run
  # without an answer, or refused although they run.
  Scenario: Requests on kept connections are answered or do not run
    Given a stopping instance whose endpoints answer late
    When 8 callers send requests without a pause on kept connections through a stop
    Then each request that has run is answered with 200, and no other one
    And requests were answered after the signal, and others refused

  # Guards against an answer that its endpoint has ended in time being cut off
  # because the caller has not yet read it.
  Scenario Outline: Answers that wait for a slow caller are sent in whole
    Given a stopping instance whose endpoints send large answers
    When a caller reads a <kind> answer within <read> seconds, sent <when>
    Then it gets the whole answer, having run once

    Examples:
      | kind       | read | when                       |
      | idempotent | 5    | 0.5 seconds before SIGTERM |
      | streaming  | 5    | 0.5 seconds before SIGTERM |
      | idempotent | 5    | 1 second after SIGTERM     |
      | streaming  | 5    | 1 second after SIGTERM     |
      | idempotent | 9    | 0.5 seconds before SIGTERM |
      | streaming  | 9    | 0.5 seconds before SIGTERM |

  # Guards against bytes that a caller sends behind its request turning the
  # close into a reset, which destroys the answer on its way.
  Scenario Outline: What a caller sends while it reads does not cut its answer
    Given a stopping instance whose endpoints send large answers
    When a caller sends another request 4 seconds after its <kind> one, sent <when>
    Then it gets the whole answer, having run once

    Examples:
      | kind       | when                       |
      | idempotent | 0.5 seconds before SIGTERM |
      | streaming  | 0.5 seconds before SIGTERM |
      | idempotent | 1 second after SIGTERM     |
      | streaming  | 1 second after SIGTERM     |
