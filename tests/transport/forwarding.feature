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
