Feature: Events that arrive late

  # Guards against a stream that is cut though its next event is there: it came
  # in the last moment of a wait, and nothing was left of the time to read it.
  Scenario: An event that arrives at the end of a wait is passed on
    Given a resumable stream whose endpoint has sent event 1
    When event 2 arrives just as the wait for it ends
    Then the reader passes event 2 on

  # Guards against a stream that is cut because its endpoint pauses after a part
  # of a chunk, and nothing takes its place.
  Scenario Outline: A stream that pauses inside a chunk goes on
    Given a stream whose endpoint pauses for 1 s after byte <count> of event 3
    And <obstacle>
    When a caller reads the stream
    Then it gets the events 1 to 4 of the first endpoint and a complete end

    Examples:
      | count | obstacle                               |
      | 1     | no other endpoint is listed            |
      | 1     | all other endpoints refuse the request |
      | 4     | no other endpoint is listed            |
      | 9     | no other endpoint is listed            |
      | 9     | all other endpoints refuse the request |

  # Guards against a stream that is cut, or kept waiting to its deadline, because
  # an endpoint that sends no event takes over from one that goes on.
  Scenario Outline: An endpoint without events does not take over
    Given a stream whose endpoint ends it 1 s after event 4
    And the next endpoint sends a head and <answer>
    When a caller reads the stream
    Then it gets the events 1 to 4 of the first endpoint and a complete end

    Examples:
      | answer            |
      | nothing           |
      | the end after 1 s |

  # Guards against the loss of an answer that has arrived, when the end of the
  # grace time ends the requests that still run.
  Scenario: What has arrived when an attempt is ended is passed on
    Given a stream that has arrived whole when its attempt is ended
    Then all of it is read, and it is complete
