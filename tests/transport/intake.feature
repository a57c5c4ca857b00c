Feature: What an HTTP server takes in from one client

  Scenario Outline: Chunked bodies are decoded wherever they are cut
    Given a parser for bodies of 8 bytes
    When it gets the chunks <chunks> cut after each <count> bytes
    Then the body is <body> and <left> follows

    Examples:
      | chunks                          | count | body     | left |
      | 3\r\nabc\r\n0\r\n\r\nGET        | 1     | abc      | GET  |
      | 3\r\nabc\r\n0\r\n\r\nGET        | 99    | abc      | GET  |
      | 3;a=b\r\nabc\r\n1\r\nd\r\n0\r\nX: y\r\n\r\n | 2 | abcd | nothing |
      | 8\r\nabcdefgh\r\n0\r\n\r\n      | 3     | abcdefgh | nothing |
      | 0\r\n\r\n                       | 1     | nothing  | nothing |

  Scenario Outline: A chunked body that cannot be used is given up at once
    Given a parser for bodies of 8 bytes
    When it gets the chunks <chunks> cut after each <count> bytes
    Then the body fails with <status>

    Examples:
      | chunks                | count | status |
      | 9\r\n                 | 1     | 413    |
      | 8\r\nabcdefgh\r\n1\r\n | 1    | 413    |
      | ffffffffffffffffff\r\n | 99   | 413    |
      | 3\r\nabcd             | 1     | 400    |
      | x\r\n                 | 99    | 400    |
      | +3\r\n                | 99    | 400    |
      | 0x3\r\n               | 99    | 400    |

  # Guards against lines between the chunks that have no end.
  Scenario Outline: A line between chunks is bounded
    Given a parser for bodies of 1048576 bytes
    When it gets <start> and then 20000 bytes of a line without an end
    Then the body fails with 400

    Examples:
      | start        |
      | nothing      |
      | 3\r\nabc\r\n |
      | 0\r\n        |

  # Guards against clients that take for ever: headerTimeoutMs was not read,
  # and a body had no time at all.
  Scenario Outline: A request that does not arrive in its time is refused
    Given an intake with 10 s for a head and 30 s for a body
    When a request has sent <part> and <seconds> s pass
    Then it is found <found>

    Examples:
      | part                               | seconds | found   |
      | a part of its head                 | 9.9     | in time |
      | a part of its head                 | 10      | late    |
      | its head                           | 29.9    | in time |
      | its head                           | 30      | late    |
      | its head with a deadline of 5000 ms | 4.9    | in time |
      | its head with a deadline of 5000 ms | 5      | late    |
      | its head with a deadline of x ms   | 29.9    | in time |

  # Guards against a client that is refused for an empty line that it sent
  # behind its last request.
  Scenario: Empty lines are no request that could be late
    Given an intake with 10 s for a head and 30 s for a body
    When a request has sent an empty line and 60 s pass
    Then it is found in time

  # Guards against a body that is refused for ever by an instance that has no
  # configuration yet.
  Scenario: No body is too large before there is a configuration
    Given an instance's intake for callers without a configuration
    When a request announces a body of 8 MiB
    Then it is not refused

  # Guards against an answer that is cut off as not read because it began late.
  Scenario Outline: Only a client that does not read is idle while it waits
    Given a connection whose request has been answered for 60 s
    When it has <bytes> bytes to read at <looks> looks, one each second
    Then it is <kept> by a server whose clients may be idle for 5 s

    Examples:
      | bytes | looks | kept   |
      | 0     | 10    | kept   |
      | 9     | 1     | kept   |
      | 9     | 5     | kept   |
      | 9     | 7     | closed |

  # Guards against a request that is refused as late after a pause of this
  # process, though the rest of it had arrived.
  Scenario: A request is refused when it is found late twice
    Given an intake with 10 s for a head and 30 s for a body
    When a request has sent a part of its head and 60 s pass
    Then it is not refused when it is found late first
    And it is refused when it is found late again
