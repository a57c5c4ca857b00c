Feature: Bytes without end from an endpoint

  # An endpoint may send bytes that are no answer until its caller closes the
  # connection. The time is bounded by the wait that was allowed, and the
  # bytes that are read by a limit, so that memory stays bounded.

  Scenario Outline: A head without end is given up in time
    Given an endless endpoint that sends "<bytes>" <pace>
    When the request waits 0.5 seconds for the head
    Then the wait ends with a fault within 1.0 seconds
    And at most 2 MB of memory were taken

    Examples:
      | bytes             | pace          |
      | a status line     | fast          |
      | a status line     | bit by bit    |
      | a header line     | fast          |
      | a header line     | bit by bit    |
      | headers           | fast          |
      | headers           | bit by bit    |
      | interim answers   | fast          |
      | interim answers   | bit by bit    |

  Scenario Outline: A body without end is given up in time
    Given an endless endpoint that sends "a head, then <bytes>" <pace>
    When the request reads the whole answer within 0.8 seconds
    Then the wait ends with a fault within 1.4 seconds
    And at most 8 MB of memory were taken

    Examples:
      | bytes              | pace       |
      | chunks             | fast       |
      | chunks             | bit by bit |
      | a chunk-size line  | fast       |
      | a chunk-size line  | bit by bit |
      | trailers           | fast       |
      | trailers           | bit by bit |

  Scenario Outline: A late copy of an answer without end is given up in time
    Given an endless endpoint that sends "the head of another answer, then chunks" <pace>
    When the request waits 0.5 seconds for the head
    Then the wait ends with a fault within 1.0 seconds
    And at most 2 MB of memory were taken

    Examples:
      | pace       |
      | fast       |
      | bit by bit |

  Scenario: Bytes after the end of a body belong to no request
    Given an endless endpoint that sends "a complete answer, then other bytes" fast
    When the request reads the whole answer within 0.8 seconds
    Then the answer was read to its end
    And the connection to the endless endpoint is not used again

  Scenario: Many endless answers at the same time are given up in time
    Given 50 endless endpoints that send "a head, then chunks" fast
    When 50 requests read the whole answers within 3 seconds
    Then all waits end with a fault within 6.0 seconds

  # Tracing each allocation slows the readers down, so this has no bound in time.
  Scenario: Many endless answers at the same time stay within the memory
    Given 50 endless endpoints that send "a head, then chunks" fast
    And the memory is traced
    When 50 requests read the whole answers within 3 seconds
    Then all waits end with a fault
    And at most 72 MB of memory were taken

  Scenario: A stream that never completes an event is given up in time
    Given an endless endpoint that sends "a head, then an event without an end" bit by bit
    When the request reads a resumable stream with pauses of up to 0.1 seconds
    Then the wait ends with a fault within 1.0 seconds

  Scenario: A stream whose events come in small parts is not given up
    Given an endless endpoint that sends "a head, then events" bit by bit
    When the request reads a resumable stream with pauses of up to 0.1 seconds
    Then 20 events were read

  Scenario Outline: An answer of the store without end is given up in time
    Given an endless endpoint that sends "<bytes>" <pace>
    When the store is read there with a timeout of 0.5 seconds
    Then the store counts as unavailable within 1.0 seconds
    And at most 24 MB of memory were taken

    Examples:
      | bytes                | pace       |
      | headers              | bit by bit |
      | interim answers      | fast       |
      | interim answers      | bit by bit |
      | a head, then chunks  | fast       |
      | a head, then chunks  | bit by bit |
      | a head, then trailers | fast      |
