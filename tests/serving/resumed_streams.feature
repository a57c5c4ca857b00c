Feature: Streams that break off and are resumed, over connections

  # Guards against the text or the head of another answer in the middle of a
  # stream, and against a stream that ends as if it were complete.
  Scenario Outline: After a broken-off stream the next endpoint gives no stream
    Given endpoints of which the first <breaks> after event 2
    And the next endpoint answers <next>
    When callers with HTTP/1.1 and HTTP/1.0 read a resumable stream
    Then each gets whole events in order and then a broken end

    Examples:
      | breaks                 | next                                  |
      | closes                 | a 500 with a length                   |
      | closes                 | a 500 without a length                |
      | closes                 | a 500 without an id                   |
      | closes                 | a 503                                 |
      | closes                 | a 503 that has not run                |
      | closes                 | a 429                                 |
      | closes                 | a 421                                 |
      | closes                 | a 404                                 |
      | closes                 | a 204                                 |
      | closes                 | a 103 and then a 500                  |
      | closes                 | a line of text                        |
      | closes                 | a page of text with a length          |
      | closes                 | a page of text without a length       |
      | closes                 | an event without an id                |
      | closes                 | the head of an error in its body      |
      | closes                 | event 3 and the head of an error      |
      | closes                 | a compressed stream                   |
      | closes                 | a stream that ends with its head      |
      | closes                 | a stream of no events                 |
      | closes                 | events with other ids                 |
      | closes                 | an event with an id of 5000 digits    |
      | closes                 | event 4                               |
      | resets                 | a page of text without a length       |
      | closes inside an event | a 500 with a length                   |
      | closes inside an event | a page of text with a length          |
      | resets without framing | the head of an error in its body      |
      | ends inside an event without framing | a 500 without a length  |

  # Guards against an event that is neither passed on nor requested again.
  Scenario Outline: After a broken-off stream the next endpoints give the rest
    Given endpoints of which the first <breaks> after event 2
    And the next endpoint answers <next>
    And the one after it answers <last>
    When callers with HTTP/1.1 and HTTP/1.0 read a resumable stream
    Then each gets the events 1 to 4 and then a complete end

    Examples:
      | breaks                 | next                            | last            |
      | closes                 | events 3 and 4                  | a 500           |
      | closes inside an event | events 3 and 4                  | a 500           |
      | resets without framing | events 3 and 4 without a length | a 500           |
      | closes                 | events 1 to 4                   | a 500           |
      | closes                 | a 500 with a length             | events 3 and 4  |
      | closes                 | an event without an id          | events 3 and 4  |
      | closes                 | events 3 and 5 at once          | events 3 and 4  |
      | closes                 | a page of text with a length    | events 3 and 4  |
      | closes                 | event 3 and the head of an error | events 3 and 4 |

  # Guards against pieces of two answers that are joined to one event.
  Scenario Outline: A stream that breaks off inside its first event starts anew
    Given endpoints of which the first breaks off inside event 1
    And the next endpoint answers <next>
    When callers with HTTP/1.1 and HTTP/1.0 read a resumable stream
    Then each gets the events 1 to 4 and then a complete end

    Examples:
      | next                            |
      | events 1 to 4                   |

  Scenario Outline: What a peer forwards is resumed in the same way
    Given endpoints of which the first closes after event 2
    And the next endpoint answers <next>
    When callers read a resumable stream that a peer forwards
    Then each gets whole events in order and then a broken end

    Examples:
      | next                             |
      | a 500 with a length              |
      | a page of text without a length  |
      | the head of an error in its body |
      | a stream of no events            |
