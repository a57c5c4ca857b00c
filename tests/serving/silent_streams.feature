Feature: Streams whose endpoint is silent for some time

  # Guards against a stream that is cut, although its endpoint goes on, because
  # no other endpoint takes its place.
  Scenario Outline: A silent stream goes on when nothing takes its place
    Given a stream whose endpoint is silent for 1 s after event 2
    And <obstacle>
    When a caller reads the stream
    Then it gets the events 1 to 4 of the first endpoint and a complete end

    Examples:
      | obstacle                                     |
      | no other endpoint is listed                  |
      | all other endpoints refuse the request       |
      | all other endpoints fail with a 500          |
      | all other endpoints close the connection     |
      | all other endpoints answer nothing           |
      | all other endpoints send other events        |
      | no retry budget is left                      |
      | the instance is stopping                     |

  # Guards against a stream that waits for an endpoint that is gone.
  Scenario: The next endpoint takes the place of one that stays silent
    Given a stream whose endpoint is silent for good after event 2
    And the next endpoint gives the rest after 0.2 s
    When a caller reads the stream
    Then it gets the events 1 and 2 of the first endpoint and the rest of the next
    And the first endpoint was left when the next one had answered

  # Guards against the proof of one endpoint above the events of another.
  Scenario: The head is that of the endpoint whose events are passed on
    Given a stream whose endpoint is silent for good after its head
    And the next endpoint gives a whole stream
    When a caller reads the stream
    Then it gets the head and the events of the next endpoint

  # Guards against a whole answer that is waited for until the deadline.
  Scenario Outline: An answer that is read to its end is complete at once
    Given <kind> whose endpoint gives at once <answer>
    When a caller reads the answer
    Then it gets the whole answer within 1 s

    Examples:
      | kind                  | answer                 |
      | a resumable stream    | a stream with a length |
      | a stream              | a stream with a length |
      | an idempotent request | an answer to HEAD      |

  # Guards against the loss of both endpoints when the silent one ends.
  Scenario Outline: The next endpoint goes on when the silent one ends
    Given a stream whose endpoint <ends> after 0.6 s of silence
    And the next endpoint gives the rest after 0.7 s
    When a caller reads the stream
    Then it gets the events 1 and 2 of the first endpoint and the rest of the next

    Examples:
      | ends   |
      | closes |
      | resets |

  # Guards against a stream that cannot be resumed because others refused it
  # while its endpoint was silent.
  Scenario: A stream that goes on and breaks off later is resumed
    Given a stream whose endpoint is silent for 1 s after event 2 and closes after event 3
    And the others refuse the request while it goes on, then give the rest
    When a caller reads the stream
    Then it gets the events 1 to 3 of the first endpoint and the rest of the next

  # Guards against a caller that is kept waiting by a part of a head.
  Scenario: A head that is not whole at the deadline is waited for no longer
    Given an idempotent request whose endpoint sends an interim head shortly before the deadline
    When a caller reads the answer
    Then it gets an answer by the deadline

  # Guards against two endpoints that both work on a stream.
  Scenario: The next endpoint is left when the first one goes on
    Given a stream whose endpoint is silent for 1 s after event 2
    And the next endpoint gives the rest after 2 s
    When a caller reads the stream
    Then it gets the events 1 to 4 of the first endpoint and a complete end
    And the next endpoint was left when the first one had gone on

  # Guards against an answer that is given up while it is on its way.
  Scenario Outline: An answer that is late is waited for when nothing replaces it
    Given <kind> whose endpoint answers after 1 s
    And <obstacle>
    When a caller reads the answer
    Then it gets the whole answer of the first endpoint

    Examples:
      | kind                  | obstacle                               |
      | a resumable stream    | all other endpoints refuse the request |
      | a resumable stream    | no other endpoint is listed            |
      | an idempotent request | all other endpoints refuse the request |
      | an idempotent request | no other endpoint is listed            |
      | an idempotent request | no retry budget is left                |

  # Guards against events that a caller gets a second time from another endpoint.
  Scenario: A stream without event ids stays at its endpoint
    Given a stream without event ids that pauses for 1 s after event 2
    And the next endpoint gives a whole stream
    When a caller reads the stream
    Then it gets the events 1 to 4 of the first endpoint and a complete end

  # Guards against a stream that waits for an endpoint which sent no event.
  Scenario: The next endpoint takes over after a comment
    Given a stream whose endpoint is silent for good after a comment
    And the next endpoint gives a whole stream
    When a caller reads the stream
    Then it gets the comment and the events of the next endpoint

  # Guards against a stream that is cut because an endpoint takes over which has
  # sent a comment and no event.
  Scenario Outline: A comment lets no endpoint take over
    Given a stream whose endpoint is silent for 1 s after event 2
    And the next endpoint sends a comment and <rest>
    When a caller reads the stream
    Then it gets the events 1 to 4 of the first endpoint and a complete end

    Examples:
      | rest                      |
      | nothing more              |
      | the end of the connection |
      | the end of the stream     |

  # Guards against a stream that waits for an endpoint that is gone.
  Scenario: An endpoint takes over with the first event after a comment
    Given a stream whose endpoint is silent for good after event 2
    And the next endpoint sends a comment and the rest after 0.2 s
    When a caller reads the stream
    Then it gets the events 1 and 2 of the first endpoint, then the comment and the rest of the next

  # Guards against a caller that is kept waiting beyond its deadline by parts of
  # an event.
  Scenario: Parts of an event are waited for until the deadline
    Given a stream whose endpoint is silent for good after event 2
    And the next endpoint sends event 3 byte by byte without an end
    When a caller reads the stream
    Then the stream ends by the deadline

  # Guards against an endpoint that is waited for without end, because it sends
  # a part of an event now and then, while others would go on.
  Scenario: Parts of an event do not extend the time of an endpoint
    Given a stream whose endpoint is silent for good after event 2
    And the next endpoint sends event 3 byte by byte without an end, and another one the rest
    When a caller reads the stream
    Then it gets the events 1 and 2 of the first endpoint and the rest of the next
    And it gets the end of the stream within 1.5 s

  # Guards against an answer on its way that is given up for the head of another
  # one, which never becomes whole.
  Scenario Outline: A part of another answer does not replace a late one
    Given <kind> whose endpoint answers after 1 s
    And the next endpoint sends the head of a <status> answer and <rest>
    When a caller reads the answer
    Then it gets the whole answer of the first endpoint

    Examples:
      | kind                  | status | rest                      |
      | an idempotent request | 200    | nothing more              |
      | an idempotent request | 200    | the end of the connection |
      | an idempotent request | 200    | half of its body          |
      | a resumable stream    | 404    | nothing more              |

  # Guards against an endpoint that goes on unseen, because a part of the answer
  # of another one is read.
  Scenario Outline: An endpoint goes on while another one hangs in its answer
    Given <request>
    And the next endpoint hangs after <part>
    When a caller reads the answer
    Then it gets the whole answer of the first endpoint
    And it gets the end of the answer within 1.5 s

    Examples:
      | request                                                 | part               |
      | a stream whose endpoint is silent for 1 s after event 2 | an interim head    |
      | a stream whose endpoint is silent for 1 s after event 2 | half a head        |
      | a stream whose endpoint is silent for 1 s after event 2 | half of trailers   |
      | an idempotent request whose endpoint answers after 1 s  | an interim head    |
      | an idempotent request whose endpoint answers after 1 s  | half a head        |
      | an idempotent request whose endpoint answers after 1 s  | half of trailers   |
      | an idempotent request whose endpoint answers after 1 s  | a byte of a status |

  # Guards against the loss of both endpoints when the silent one ends.
  Scenario Outline: The rest of a head is waited for when the silent one ends
    Given a stream whose endpoint <ends> after 0.6 s of silence
    And the next endpoint gives an interim head, then the rest after 0.7 s
    When a caller reads the stream
    Then it gets the events 1 and 2 of the first endpoint and the rest of the next

    Examples:
      | ends   |
      | closes |
      | resets |

  # Guards against a caller that waits though an answer has arrived whole.
  Scenario Outline: The whole answer of the next endpoint replaces a late one
    Given an idempotent request whose endpoint answers nothing
    And the next endpoint gives at once <answer>
    When a caller reads the answer
    Then it gets the whole answer within 1 s

    Examples:
      | answer                                  |
      | an answer with a length                 |
      | an answer in chunks                     |
      | an answer that ends with its connection |
      | an empty answer                         |
      | an answer without content               |

  # Guards against a stream that is lost at both endpoints, because a sign of
  # life of one that hangs ends the attempt at the other.
  Scenario: A comment of a silent endpoint does not end the attempt at the next
    Given a stream whose endpoint sends a comment after 0.45 s and then hangs
    And the next endpoint gives the rest after 0.5 s
    When a caller reads the stream
    Then it gets the events 1 and 2 of the first endpoint, then the comment and the rest of the next

  # Guards against a stream that is lost at both endpoints, because bytes of one
  # that hangs, or fails, end the attempt at the other.
  Scenario Outline: Bytes of a silent endpoint do not end the attempt at the next
    Given a stream whose endpoint sends <part> after 0.45 s and then hangs
    And the next endpoint gives the rest after 0.5 s
    When a caller reads the stream
    Then it gets the events 1 and 2 of the first endpoint and the rest of the next

    Examples:
      | part                  |
      | a part of an event    |
      | an event out of order |

  # Guards against a fault of the silent endpoint that is forgotten.
  Scenario: A stream that fails while the next endpoint is silent is resumed
    Given a stream whose endpoint sends an event out of order after 0.45 s and then hangs
    And the next endpoint hangs, and another one gives the rest
    When a caller reads the stream
    Then it gets the events 1 and 2 of the first endpoint and the rest of the next

  # Guards against a second run that continues although the first endpoint goes
  # on, and against a comment that is lost.
  Scenario: An endpoint goes on with its next event after a comment
    Given a stream whose endpoint sends a comment after 0.45 s and the rest after 0.2 s
    And the next endpoint gives the rest after 2 s
    When a caller reads the stream
    Then it gets the events 1 and 2, the comment and the rest of the first endpoint
    And the next endpoint was left when the first one had gone on

  # Guards against memory without a bound for what comes before an event.
  Scenario: Many comments of a silent endpoint are not all kept
    Given a stream whose endpoint sends 20 kB of comments after 0.45 s and then hangs
    And the next endpoint gives the rest after 0.5 s
    When a caller reads the stream
    Then it gets the events 1 and 2 of the first endpoint, at most 16 kB of comments and the rest of the next

  # Guards against an event that is missing, and against bytes that are no event,
  # because what follows them is read once more.
  Scenario Outline: What follows bytes that are no event is not used
    Given a stream whose endpoint sends bytes that are no event after 0.35 s, then the rest of event 3
    And <others>
    When a caller reads the stream
    Then it gets the events 1 and 2 of the first endpoint and the rest of the next

    Examples:
      | others                                                  |
      | the next endpoint hangs, and another one gives the rest |
      | the next endpoint gives the rest after 0.3 s            |

  # Guards against an event that a caller gets from two endpoints.
  Scenario: What a late endpoint sends after it was replaced is not used
    Given a stream whose endpoint goes on 0.67 s after event 2
    And the next endpoint gives the rest after 0.3 s
    And the caller's thread is held up once the next endpoint has taken over
    When a caller reads the stream
    Then it gets the events 1 and 2 of the first endpoint and the rest of the next
    And the request is counted as begun once

  # Guards against a stream that is cut while its endpoint goes on, because a
  # part of the answer cannot be passed on yet.
  Scenario Outline: A part of an answer that has to be held is waited for
    Given a stream whose endpoint sends <part> after 0.35 s and its rest after 0.3 s
    And all other endpoints answer nothing
    When a caller reads the stream
    Then it gets all that the first endpoint has sent
    And it gets the end of the stream within 1.5 s

    Examples:
      | part                     |
      | what may be another head |
      | a part of the last chunk |
      | a part of trailers       |
      | a part of a long trailer |
      | a part of a long size    |

  # Guards against a wait beyond the deadline, and against the loss of the next
  # endpoint, while the silent one sends events that the caller has.
  Scenario Outline: Events that the caller has do not hide the next endpoint
    Given a stream whose endpoint repeats event 2 without end after 0.4 s
    And <others>
    When a caller reads the stream
    Then it gets <answer>

    Examples:
      | others                                       | answer                                                           |
      | the next endpoint gives the rest after 0.3 s | the events 1 and 2 of the first endpoint and the rest of the next |
      | all other endpoints answer nothing           | the end of the stream within 3 s                                 |

  # Guards against a request that is not counted.
  Scenario: A stream of a comment that comes while another endpoint is asked counts
    Given a stream whose endpoint sends a comment after 0.4 s and then its end
    And all other endpoints answer nothing
    When a caller reads the stream
    Then it gets the comment and a complete end
    And the request is counted as begun once

  # Guards against a stream that is lost at two endpoints, because a head of one
  # that then hangs, or refuses, ends the attempt at the other.
  Scenario Outline: A late head does not end the attempt at the next endpoint
    Given a stream whose endpoint sends <head> after 0.35 s and then hangs
    And the next endpoint gives a whole stream after 0.5 s
    When a caller reads the stream
    Then it gets the events of the next endpoint

    Examples:
      | head             |
      | an interim head  |
      | a head           |
      | a late refusal   |
