Feature: Forwarding requests to endpoints

  Scenario Outline: How an attempt ends
    Given an endpoint that <plays>
    When a request is forwarded to it
    Then the attempt ends with <end>

    Examples:
      | plays                               | end       |
      | answers whole                       | the body  |
      | answers in chunks                   | the body  |
      | answers without a length and closes | the body  |
      | answers without a length and resets | Broken    |
      | breaks off a body with a length     | Broken    |
      | breaks off between chunks           | Broken    |
      | sends bytes that are no answer      | Crossed   |
      | closes without an answer            | Broken    |
      | resets without an answer            | Broken    |
      | hangs                               | Silent    |
      | answers another request only        | Crossed   |

  # Guards against a connection that closes inside a head, a header or a chunk
  # size being taken for the end of a complete answer.
  Scenario Outline: An answer that ends inside its own framing is broken off
    Given an endpoint that <plays>
    When a request is forwarded to it
    Then the attempt ends with <end>

    Examples:
      | plays                                  | end     |
      | breaks off between two headers         | Broken  |
      | breaks off inside a header             | Broken  |
      | breaks off inside the status line      | Broken  |
      | breaks off inside a chunk size         | Broken  |
      | breaks off inside a trailer            | Broken  |
      | gives a length that is no number       | Crossed |
      | gives a negative length                | Crossed |
      | gives two different lengths            | Crossed |

  Scenario: A connection that is refused has not sent anything
    When a request is forwarded to a port without a listener
    Then the attempt ends with NotSent

  Scenario: A kept connection carries the next request
    Given an endpoint that answers whole twice
    When two requests are forwarded to it
    Then both receive the body of their own response over 1 connections

  Scenario: A request that may not run twice gets a fresh connection
    Given an endpoint that answers whole twice
    When two non-idempotent requests are forwarded to it
    Then both receive the body of their own response over 2 connections

  # Guards against requests that are sent on one kept connection after the other
  # when the path to the endpoint is silently lost.
  Scenario: No other kept connection is used after one without an answer
    Given an endpoint that hangs after it has kept two connections
    When four requests are forwarded to it, the first two at the same time
    Then the third gets no answer and the fourth a connection of its own

  Scenario: A connection with an extra answer carries no other request
    Given an endpoint that sends an extra answer at once
    When two requests are forwarded to it
    Then both receive the body of their own response over 2 connections

  Scenario: A late answer of an earlier request is passed over
    Given an endpoint that sends an extra answer with the next one
    When two requests are forwarded to it
    Then both receive the body of their own response over 1 connections

  Scenario: An extra answer before the own one is passed over
    Given an endpoint that answers an earlier request first
    When a request is forwarded to it
    Then the attempt ends with the body

  # Guards against an earlier error that an endpoint writes once more being
  # taken for the answer of the next request, which then counts as not run.
  Scenario Outline: An error without an id is not believed after other answers
    Given an endpoint that repeats an earlier <status> before its answer
    When two requests are forwarded to it
    Then the second request ends with Crossed

    Examples:
      | status |
      | 503    |
      | 429    |
      | 421    |
      | 408    |
      | 500    |

  # Guards against refusals of peers, which name no request, counting as run.
  Scenario: A refusal of a peer is believed after other answers
    Given a peer that answers one request and refuses the next
    When two requests are forwarded to it
    Then the second request gets the refusal of the peer

  # Guards against a late copy of the first attempt's answer, which has the same
  # id, being taken for the answer of the second.
  Scenario: A second attempt does not use the connection of the first
    Given an endpoint that refuses, then answers
    When two attempts of one request are forwarded to it
    Then the second attempt receives the body over a connection of its own

  # Guards against further requests on a connection whose answers are known to
  # be out of step.
  Scenario: A connection that carried a late answer carries no other request
    Given an endpoint that repeats an answer before the own one, once
    When three requests are forwarded to it
    Then all receive the body of their own response over 2 connections

  # Guards against a request on a connection that an extra answer reached after
  # the check for one.
  Scenario: No request is sent after an answer that nobody waits for
    Given an endpoint that repeats an answer a little later
    When two requests are forwarded to it, the second a little later
    Then both receive the body of their own response over 2 connections

  # Guards against waiting for the answer to a request whose body was not sent
  # to its end because a late answer came in between.
  Scenario: A late answer during a long body ends the attempt at once
    Given an endpoint that repeats an answer instead of reading the body
    When two requests with a huge body are forwarded to it
    Then the second request ends with Crossed

  Scenario: A late answer may come in parts
    Given an endpoint that repeats an answer in parts
    When two requests are forwarded to it
    Then both receive the body of their own response over 1 connections

  Scenario: A late answer that is not whole does not hide where the next begins
    Given an endpoint that repeats an answer in part
    When two requests are forwarded to it
    Then the second request ends with Crossed

  # Guards against the body of another answer, whose head was written into the
  # own one, and against a head that belongs to two requests.
  Scenario Outline: A head that is not one answer's is not believed
    Given an endpoint that <plays>
    When a request is forwarded to it
    Then the attempt ends with Crossed

    Examples:
      | plays                                |
      | sends a second head inside the first |
      | names two requests                   |
      | switches protocols                   |

  # Guards against an interim answer being passed on as the answer.
  Scenario Outline: Interim answers are passed over
    Given an endpoint that <plays>
    When a request is forwarded to it
    Then the attempt ends with the body

    Examples:
      | plays                            |
      | sends hints first                |
      | sends many interim answers first |

  # Guards against an answer without a length that has a second answer, up to the
  # close of the connection, in its body.
  Scenario Outline: A second answer is not part of a body without a length
    Given an endpoint that <plays>
    When a request is forwarded to it
    Then the attempt ends with Crossed

    Examples:
      | plays                                       |
      | repeats an answer without a length          |
      | repeats an answer without a length in parts |

  Scenario: A body without a length may mention the head of an answer
    Given an endpoint that mentions a head in an answer without a length
    When a request is forwarded to it
    Then the attempt ends with the text that mentions a head

  # Guards against a body without a length that looks complete because this side
  # has shut the connection down.
  Scenario: An aborted answer without a length is not complete
    Given an endpoint that begins an answer without a length
    When a request is forwarded to it and aborted
    Then the attempt ends with Broken within a second

  Scenario: An endpoint that says close is taken at its word
    Given an endpoint that answers twice and says close
    When two requests are forwarded to it
    Then both receive the body of their own response over 2 connections

  Scenario: An early answer ends the sending and the connection
    Given an endpoint that answers before it has read the body
    When two requests with a huge body are forwarded to it
    Then both receive the body of their own response over 2 connections

  Scenario: A reader in another thread can be aborted
    Given an endpoint that hangs
    When a request is forwarded to it and aborted
    Then the attempt ends with Broken within a second

  # Guards against a crash that is taken for a lost connection, since the ending
  # process accepts one more connection: its requests are never blamed.
  Scenario: An endpoint that accepts one more connection as it ends is gone
    Given an endpoint whose listener closes after one more connection
    Then the endpoint is not alive

  Scenario: An endpoint that accepts connections is alive
    Given an endpoint that answers whole
    Then the endpoint is alive
