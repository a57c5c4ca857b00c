Feature: Codec of move records and verdicts

  Scenario: A stored move is read back as it was written
    Given any move record
    When the move record is encoded and decoded at version 7
    Then the decoded move record is the same, with version 7

  Scenario Outline: Bytes that are no move record are a typed error
    When the move record <bytes> is decoded
    Then the move codec raises an error with a message and a remedy

    Examples:
      | bytes                       |
      | nonsense                    |
      | null                        |
      | []                          |
      | {}                          |
      | an unknown stage            |
      | a share above one           |
      | a deadline that is no time  |
      | more than the longest record |

  Scenario: A verdict reaches the peers as it was reached
    Then any verdict survives a round trip, and each truncation is an error
