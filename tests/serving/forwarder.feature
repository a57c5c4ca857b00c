Feature: Forwarding of requests

  Scenario: An answer is passed back whole
    Given a forwarder whose endpoints answer in turn: whole
    When a IDEMPOTENT request is forwarded
    Then the caller gets "hello" after 1 attempts

  Scenario Outline: Failures of one endpoint are made up for by another
    Given a forwarder whose endpoints answer in turn: <first>, whole
    When a <kind> request is forwarded
    Then the caller gets "hello" after 2 attempts

    Examples:
      | first   | kind           |
      | refused | NON_IDEMPOTENT |
      | unsent  | NON_IDEMPOTENT |
      | moved   | NON_IDEMPOTENT |
      | broken  | IDEMPOTENT     |
      | silent  | IDEMPOTENT     |
      | failed  | IDEMPOTENT     |

  Scenario Outline: What may have run is not sent again
    Given a forwarder whose endpoints answer in turn: <first>, whole
    When a <kind> request is forwarded
    Then the forwarded request ends as UNKNOWN after 1 attempts

    Examples:
      | first  | kind           |
      | broken | NON_IDEMPOTENT |
      | silent | NON_IDEMPOTENT |
      | broken | STREAM         |

  # Guards against a request that an endpoint has refused as not run being
  # given up as one that may have run, since the refusal's body did not end.
  Scenario Outline: A refusal whose body does not end is a refusal
    Given a forwarder whose endpoints answer in turn: <first>, whole
    When a NON_IDEMPOTENT request is forwarded
    Then the caller gets "hello" after 2 attempts

    Examples:
      | first                     |
      | refused with a silent end |
      | refused with a broken end |

  # Guards against a refusal being believed that another answer follows.
  Scenario: A refusal whose body holds another answer is not believed
    Given a forwarder whose endpoints answer in turn: refused with another answer, whole
    When a NON_IDEMPOTENT request is forwarded
    Then the forwarded request ends as UNKNOWN after 1 attempts

  Scenario: A failure of the endpoint's own is passed on when no other helps
    Given a forwarder whose endpoints answer in turn: failed, failed, whole
    When a IDEMPOTENT request is forwarded
    Then the caller gets the endpoint's own failure after 2 attempts

  Scenario: A failure of a request that may not run twice is passed on
    Given a forwarder whose endpoints answer in turn: failed, whole
    When a NON_IDEMPOTENT request is forwarded
    Then the caller gets the endpoint's own failure after 1 attempts

  Scenario: A request that all refuse is told that it has not run
    Given a forwarder whose endpoints answer in turn: refused, refused, refused, refused, whole
    When a NON_IDEMPOTENT request is forwarded
    Then the forwarded request ends as NOT_RUN after 4 attempts

  # Guards against a Retry-After for which the caller has no time left.
  Scenario: A request admitted by room is told to return while it has time
    Given a forwarder whose endpoints answer in turn: refused, refused, refused, refused, whole
    When a NON_IDEMPOTENT request admitted by room is forwarded with 0.2 s left
    Then the forwarded request ends as NOT_RUN after 4 attempts
    And its caller is told to return within 0.0667 s

  # Guards against a request without a peer to forward it trying one endpoint
  # after the other until its deadline.
  Scenario: No more than four endpoints that cannot be reached are tried
    Given a forwarder whose endpoints answer in turn: unsent, unsent, unsent, unsent, whole
    When a NON_IDEMPOTENT request is forwarded
    Then the forwarded request ends as NOT_RUN after 4 attempts

  Scenario: A resumable stream goes on at another endpoint
    Given a forwarder whose endpoints answer in turn: half stream, rest of stream
    When a RESUMABLE_STREAM request is forwarded
    Then the caller gets events 1 to 4 without a break
    And the second attempt requested the events after event 2

  Scenario: A stream that cannot be resumed is broken off
    Given a forwarder whose endpoints answer in turn: half stream, rest of stream
    When a STREAM request is forwarded
    Then the caller's stream is broken off after event 2

  Scenario: A resumed stream with a gap is broken off, not joined
    Given a forwarder whose endpoints answer in turn: half stream, stream with a gap
    When a RESUMABLE_STREAM request is forwarded
    Then the caller's stream is broken off after event 2

  # Guards against a broken-off stream without length and chunks, which ends
  # with its connection inside an event, reaching its caller as complete.
  Scenario: A stream that ends inside an event is broken off
    Given a forwarder whose endpoints answer in turn: stream cut inside an event
    When a STREAM request is forwarded
    Then the caller's stream is broken off after event 2

  # Guards against the same when the stream may continue elsewhere.
  Scenario: A resumable stream that ends inside an event goes on elsewhere
    Given a forwarder whose endpoints answer in turn: stream cut inside an event, rest of stream
    When a RESUMABLE_STREAM request is forwarded
    Then the caller gets events 1 to 4 without a break
    And the second attempt requested the events after event 2

  # Guards against a success that is not the endpoint's own answer, without its
  # seal or with a body that was encoded, reaching the caller.
  Scenario Outline: A success that is not the endpoint's own is no answer
    Given a forwarder whose endpoints answer in turn: <answer>, whole
    When a <kind> request is forwarded
    Then <end>

    Examples:
      | answer   | kind           | end                                                   |
      | unsealed | IDEMPOTENT     | the caller gets "hello" after 2 attempts              |
      | encoded  | IDEMPOTENT     | the caller gets "hello" after 2 attempts              |
      | unsealed | NON_IDEMPOTENT | the forwarded request ends as UNKNOWN after 1 attempts |
      | encoded  | NON_IDEMPOTENT | the forwarded request ends as UNKNOWN after 1 attempts |

  # Guards against callers that are told "not run" by the status of an endpoint
  # that has run their request.
  Scenario Outline: A status that promises too much is not passed on
    Given a forwarder whose endpoints answer in turn: <answer>, whole
    When a NON_IDEMPOTENT request is forwarded
    Then the forwarded request ends as UNKNOWN after 1 attempts

    Examples:
      | answer       |
      | unproved 408 |
      | unproved 429 |
      | unproved 503 |

  # Guards against the head of a stream without a whole event being passed on.
  Scenario: A stream that ends inside its first event is no answer
    Given a forwarder whose endpoints answer in turn: stream cut inside its first event
    When a STREAM request is forwarded
    Then the forwarded request ends as UNKNOWN after 1 attempts

  # Guards against the rest of an event, from an endpoint that broke off, in
  # front of the first event of the next endpoint.
  Scenario: A resumable stream that ends inside its first event begins anew
    Given a forwarder whose endpoints answer in turn: stream cut inside its first event, whole stream
    When a RESUMABLE_STREAM request is forwarded
    Then the caller gets events 1 to 4 without a break

  # Guards against the loss of events that arrive together with a gap.
  Scenario: A stream with a gap in its first bytes begins anew
    Given a forwarder whose endpoints answer in turn: stream with a gap at its start, whole stream
    When a RESUMABLE_STREAM request is forwarded
    Then the caller gets events 1 to 4 without a break

  # Guards against a connection that closes after the head of a stream being
  # taken for an answer without events.
  Scenario: A stream without framing that ends before its first event is no answer
    Given a forwarder whose endpoints answer in turn: stream closed after its head
    When a STREAM request is forwarded
    Then the forwarded request ends as UNKNOWN after 1 attempts

  Scenario: A stream without framing that ends after an event is complete
    Given a forwarder whose endpoints answer in turn: stream without framing
    When a STREAM request is forwarded
    Then the caller gets events 1 to 4 without a break

  # Guards against new requests at an endpoint that has said in an answer that
  # it leaves, before its entry in the store says so or while it cannot be read.
  Scenario Outline: An endpoint whose answer says that it leaves gets no more
    Given a forwarder whose endpoints answer in turn: <answer>
    When a IDEMPOTENT request is forwarded
    And 30 more IDEMPOTENT requests are answered whole
    Then the endpoint of the first attempt got no other request
    And the peers are told once that it leaves

    Examples:
      | answer                |
      | leaving, whole        |
      | leaving refused, whole |
      | leaving failed, whole |

  Scenario: An answer from another endpoint's address marks none as leaving
    Given a forwarder whose endpoints answer in turn: leaving moved, whole
    When a IDEMPOTENT request is forwarded
    Then the peers are told of no endpoint that leaves

  # Guards against a number in a header that ends the actor which chooses the
  # endpoints, and with it all requests.
  Scenario Outline: An odd number in an answer ends nothing
    Given a forwarder whose endpoints answer in turn: <answer>
    When a IDEMPOTENT request is forwarded
    And 5 more IDEMPOTENT requests are answered whole
    Then the caller of the last of them gets "hello"

    Examples:
      | answer           |
      | many running     |
      | many queued      |
      | many slots       |
      | a long number    |

  # Guards against requests at an endpoint that has asked for a pause: only a
  # circuit that opens after several refusals kept them away.
  Scenario Outline: An endpoint that asks for a pause gets nothing until its end
    Given a forwarder whose endpoints answer in turn: <answer>, whole
    When a <kind> request is forwarded
    And 30 more IDEMPOTENT requests are answered whole
    Then the endpoint of the first attempt got no other request
    When 1.9 seconds pass at the forwarder
    And 30 more IDEMPOTENT requests are answered whole
    Then the endpoint of the first attempt got no other request
    When 0.2 seconds pass at the forwarder
    Then the endpoint of the first attempt is available

    Examples:
      | answer           | kind           |
      | pausing refused  | IDEMPOTENT     |
      | pausing refused  | NON_IDEMPOTENT |
      | pausing failed   | IDEMPOTENT     |

  # Guards against callers that come back before the first endpoint wants them.
  Scenario: When all endpoints ask for a pause, the caller is told its end
    Given a forwarder whose endpoints answer in turn: pausing refused, pausing refused, pausing refused, pausing refused
    When a IDEMPOTENT request is forwarded
    And 2 more IDEMPOTENT requests meet pausing endpoints
    And a IDEMPOTENT request is forwarded
    Then the forwarded request ends as NOT_RUN after 6 attempts
    And the caller is told to come back in 2.0 to 2.5 seconds

  # Guards against an instance that is cut off taking its own loss for the crash
  # of each endpoint, and blaming the requests that it had there.
  Scenario Outline: Only the loss of some endpoints counts as a crash
    Given a forwarder whose endpoints answer in turn: broken, whole
    And <lost> accept no connections any more
    When a IDEMPOTENT request is forwarded
    Then the peers are told of <count> crashes

    Examples:
      | lost               | count |
      | all endpoints      | 0     |
      | the broken ones    | 1     |

  Scenario: A caller that has left is not served any more
    Given a forwarder whose endpoints answer in turn: whole
    When a IDEMPOTENT request of a disconnected caller is forwarded
    Then nothing is sent to an endpoint

  # Guards against the answer of another request being cut, on a connection that
  # an earlier attempt of the caller who left has given back.
  Scenario: A caller that leaves does not end a connection that others may use
    Given a forwarder whose endpoints answer in turn: refused, whole
    When the caller of a request leaves before its second attempt is connected
    Then only the connection of the second attempt is aborted

  Scenario: Whatever happens, no load stays counted
    Given a forwarder whose endpoints answer in turn: broken, refused, silent, failed, half stream
    When 5 requests of different kinds are forwarded
    Then no endpoint has any of them in flight

  # Guards against a permit that is used after it was given back, because its
  # endpoint is reached again by the next attempt.
  Scenario: A permit for an endpoint that is not reached is used no more
    Given a forwarder whose endpoints answer in turn: unsent, whole
    And the endpoint of a request's permit is not reached by the first attempt
    When a IDEMPOTENT request with the permit is forwarded
    Then the caller gets "hello" after 2 attempts
    And the permit has been given back once

  Scenario: A begun request counts once in the usage
    Given a forwarder whose endpoints answer in turn: half stream, rest of stream
    When a RESUMABLE_STREAM request is forwarded
    Then the caller gets events 1 to 4 without a break
    And 1 request has begun

  # The estimates of placement by work would stay without observations.
  Scenario Outline: An answer in full shows what its request costs
    Given a forwarder whose endpoints answer in turn: <answer>
    And the service of the forwarder reports work time
    And each piece of an answer takes 0.02 s
    When a <kind> request with a prompt of <tokens> tokens is forwarded
    Then the forwarder has learned <events> events and a <what> of <seconds> s

    Examples:
      | answer                | kind   | tokens | events | what  | seconds |
      | stream without framing | STREAM | 600    | 4      | gap   | 0.02    |
      | whole                 | IDEMPOTENT | 0  | 0      | whole | 0.02    |

  Scenario: An answer after a failed attempt shows no cost
    Given a forwarder whose endpoints answer in turn: broken, whole
    And the service of the forwarder reports work time
    And each piece of an answer takes 0.02 s
    When a IDEMPOTENT request with a prompt of 0 tokens is forwarded
    Then the forwarder has learned nothing

  # Guards against a request that is sent to an endpoint which has left while
  # the request waited for its connection; it goes to another endpoint, and the
  # attempt counts neither as an offer nor as a retry.
  Scenario Outline: An endpoint that leaves before the send gets no request
    Given a forwarder whose endpoints answer in turn: whole
    When <count> of the endpoints chosen for a <kind> request <way> during the connection
    Then the caller gets "hello" after <attempts> attempts
    And only the endpoint that stays was sent the request
    And no retry was spent, and no attempt or load stays counted

    Examples:
      | count | kind           | way                              | attempts |
      | 1     | IDEMPOTENT     | says in an answer that it leaves | 2        |
      | 5     | IDEMPOTENT     | says in an answer that it leaves | 6        |
      | 1     | NON_IDEMPOTENT | is gone at a peer                | 2        |
      | 5     | NON_IDEMPOTENT | is not listed any more           | 6        |

  # Guards against a stream that is resumed at an endpoint which has left while
  # the resumed attempt waited for its connection.
  Scenario: A resumed stream is not sent to an endpoint that leaves before it
    Given a forwarder whose endpoints answer in turn: half stream, rest of stream
    When a RESUMABLE_STREAM is forwarded whose second endpoint leaves during the connection
    Then the caller gets events 1 to 4 without a break
    And the endpoint that left was not sent the stream

  # Guards against endpoints that are told more time than a stop leaves.
  Scenario: An endpoint is told the time that a stopping instance has left
    Given a forwarder whose endpoints answer in turn: whole
    And its instance ends its requests in 4 s
    When a NON_IDEMPOTENT request is forwarded
    Then the caller gets "hello" after 1 attempts
    And the endpoint was told at most 4.25 s

  # Guards against attempts that begin although they cannot end in time.
  Scenario Outline: No attempt begins that a stop would break off
    Given a forwarder whose endpoints answer in turn: <first>, whole
    And its instance ends its requests in <end> s
    And each attempt of the forwarder takes 1 s
    When a <kind> request is forwarded
    Then the forwarded request ends as <ran> after <count> attempts

    Examples:
      | first   | end | kind           | ran     | count |
      | whole   | 0.4 | NON_IDEMPOTENT | NOT_RUN | 0     |
      | refused | 1.4 | NON_IDEMPOTENT | NOT_RUN | 1     |
      | unsent  | 1.4 | NON_IDEMPOTENT | NOT_RUN | 1     |
      | broken  | 1.4 | IDEMPOTENT     | UNKNOWN | 1     |

  # Guards against requests that are refused although they end in time.
  Scenario Outline: An attempt begins that ends before the stop
    Given a forwarder whose endpoints answer in turn: <outcomes>
    And its instance ends its requests in <end> s
    And each attempt of the forwarder takes <takes> s
    When a NON_IDEMPOTENT request is forwarded with <left> s left
    Then the caller gets "hello" after <count> attempts

    Examples:
      | outcomes       | end | left | takes | count |
      | whole          | 0.6 | 10   | 0.5   | 1     |
      | refused, whole | 1.6 | 10   | 0.7   | 2     |
      | whole          | 0.4 | 0.3  | 0.2   | 1     |

  # Guards against a sound endpoint that is avoided, or a request that counts as
  # its crash, because the instance has stopped.
  Scenario Outline: The end of a stop is no failure of the endpoint
    Given a forwarder whose endpoints answer in turn: <first>, whole
    And all endpoints accept no connections any more
    And its instance ends its requests in 0.9 s
    And each attempt of the forwarder takes 1 s
    When a <kind> request is forwarded
    Then the forwarded request ends as <ran> after 1 attempts
    And the peers are told of 0 crashes
    And no endpoint of the forwarder counts as failing

    Examples:
      | first  | kind           | ran     |
      | broken | NON_IDEMPOTENT | UNKNOWN |
      | silent | IDEMPOTENT     | UNKNOWN |
      | unsent | NON_IDEMPOTENT | NOT_RUN |

  # Guards against a stream that goes on elsewhere, or looks complete, after
  # the instance has ended its requests.
  Scenario: A stream breaks off when the instance ends its requests
    Given a forwarder whose endpoints answer in turn: half stream, rest of stream
    And its instance ends its requests in 0.9 s
    And each piece of an answer takes 0.5 s
    When a RESUMABLE_STREAM request is forwarded
    Then the answer of the forwarder is broken off after 1 attempts
