Feature: One instance on the users' platform, as a process

  Background:
    Given an instance on a small platform with endpoints e1 and e2

  Scenario: A request of each kind is served
    When a GET /safe/x, a POST /once/x and a GET /stream/x are sent
    Then the first two have an endpoint's Response-Seal header and complete body
    And the stream has events 1 to 3 and is complete

  Scenario: A forged header does not reach an endpoint and the key stays
    When a GET /safe/x is sent with forged headers
    Then the endpoint received the account, its own id and no forged header

  Scenario Outline: A request that is not allowed is refused
    When a GET <path> is sent with key <key>
    Then the status is <status> and no endpoint has run the request

    Examples:
      | path     | key | status |
      | /safe/x  | k9  | 401    |
      | /other/x | k1  | 404    |

  Scenario: A full endpoint's request goes to the other one
    When e1 is full and 6 requests are sent
    Then all of them are answered by e2

  Scenario: When all are full the caller is told that nothing has run
    When e1 and e2 are full and a POST /once/x is sent
    Then the status is 503 with a Retry-After header

  # Guards against the rate that an endpoint names being read and not kept.
  Scenario: An endpoint that names a rate gets no more
    When e1 names a rate of 0.5 requests a second and 60 requests are sent
    Then all of them are answered
    And e1 has run at most 8 of them

  Scenario: An endpoint that drains gets no new work
    When e1 drains and 6 requests are sent
    Then all of them are answered by e2

  # Guards against an instance that follows its endpoints no more.
  Scenario: An odd entry of another writer changes nothing for callers
    When another writer leaves odd entries, e1 drains and 6 requests are sent
    Then all of them are answered by e2

  Scenario: A new configuration comes into force while the store answers
    When a configuration with the route /new/ is written
    Then a GET /new/x is served within 2 seconds

  Scenario: A store that refuses everything changes nothing for callers
    When the store refuses every call and 6 requests are sent
    Then all of them are answered

  Scenario: A caller that leaves ends the endpoint's work
    When a caller of /slow/y/x disconnects after 0.2 seconds
    Then the endpoint sees the disconnect within a second

  Scenario: A route's time ends a request
    When a POST /slow/x is sent whose route allows 0.8 seconds
    Then the status is 504 within 1.3 seconds

  Scenario: SIGTERM finishes what runs and ends within the grace time
    When a GET /slow/y/x is sent and the instance gets SIGTERM
    Then the request is answered and the instance ends within 8 seconds
    And the instance was not ready after the signal

  Scenario: A request that may not run twice is given up when its answer is lost
    When e1 and e2 lose their answers and a POST /once/x is sent
    Then the status is 502 and the request has run once

  Scenario: A request that may be repeated is answered by another endpoint
    When e1 loses its answers and 6 GET /safe/x are sent
    Then all of them are answered by e2

  # Guards against an answer that breaks off inside its head being passed on as
  # whole.
  Scenario Outline: An answer that breaks off in its head is passed on to nobody
    When e1 and e2 cut the heads of their answers and a <method> <path> is sent
    Then the status is 502 and its body is not the endpoint's
    And the endpoints have run the request at most <runs> times

    Examples:
      | method | path      | runs |
      | POST   | /once/x   | 1    |
      | GET    | /safe/x   | 2    |
      | GET    | /stream/x | 1    |

  # Guards against the first hop seeing a broken answer and the second a whole
  # one.
  Scenario Outline: A peer passes no answer on that breaks off in its head
    When e1 and e2 cut the heads of their answers to a <kind> <path> of a peer
    Then the peer of the instance is told that the request may have run

    Examples:
      | kind           | path      |
      | NON_IDEMPOTENT | /once/x   |
      | IDEMPOTENT     | /safe/x   |
      | STREAM         | /stream/x |

  # Guards against an answer that changes on its way through a peer.
  Scenario Outline: The request of a peer that reaches no endpoint is forwarded
    When a peer forwards a <kind> <path> that belongs to account "acme"
    Then the peer gets the endpoint's answer to <path> unchanged
    And the endpoint received the account and its own id

    Examples:
      | kind            | path      |
      | NON_IDEMPOTENT  | /once/x   |
      | STREAM          | /stream/x |

  Scenario: What is no request of a peer is refused
    When a peer sends a body that is no request
    Then the peer is told that it is malformed and no endpoint has run it

  # Guards against evacuations that are followed where they are not in use.
  Scenario: An evacuation has no effect where evacuations are not in use
    When z1 is evacuated and 6 GET /safe/x are sent a second later
    Then all of them are answered
    And the instance has asked the store for no evacuations

  # Guards against earlier deployments that are restricted by unused fields.
  Scenario: Allowed regions have no effect where they are not in use
    When 12 requests of a route with allowed regions are sent
    Then the regions of these requests were served by e1 and e2

  Scenario: An idle instance has few threads
    When a GET /safe/x, a POST /once/x and a GET /stream/x are sent
    And 40 peers connect to the instance
    Then the instance has at most 24 threads
