Feature: Answers during an upload whose connection is reset

  # Guards against a part of an answer that is taken as complete: the send
  # uses up the error of the reset, and the body then ends like a whole one.
  Scenario Outline: No early success before a reset is believed by a <client>
    Given a server that answers a part of a request with <form>, then resets
    When a <client> of 4 MB is sent to it
    Then it has no answer

    Examples: An answer that breaks off
      | client              | form                      |
      | write to the store  | a part of an unframed 200 |
      | status write        | a part of an unframed 200 |
      | usage report        | a part of an unframed 200 |
      | look-up             | a part of an unframed 200 |
      | booking             | a part of an unframed 200 |
      | prompt              | a part of an unframed 200 |
      | cache copy          | a part of an unframed 200 |
      | forwarded request   | a part of an unframed 200 |

    Examples: A whole answer to a part of a request
      | client              | form                      |
      | write to the store  | a whole unframed 200      |
      | status write        | a whole unframed 200      |
      | usage report        | a whole unframed 200      |
      | forwarded request   | a whole unframed 200      |
      | write to the store  | a whole framed 200        |
      | usage report        | a whole framed 200        |

  # Guards against an answer with a status that HTTP does not have.
  Scenario Outline: No answer of an impossible status is believed by a <client>
    Given a server that answers a whole request with status <status>
    When a <client> of 4 kB is sent to it
    Then it has no answer

    Examples:
      | client              | status |
      | write to the store  | 000    |
      | status write        | 000    |
      | usage report        | 000    |
      | look-up             | 000    |
      | booking             | 000    |
      | prompt              | 000    |
      | cache copy          | 000    |
      | forwarded request   | 000    |
      | write to the store  | 099    |
      | usage report        | 099    |
      | forwarded request   | 099    |
      | write to the store  | 1000   |
      | usage report        | 1000   |
      | forwarded request   | 1000   |

  # A server may refuse a request that it does not read to its end.
  Scenario: An early refusal of known length is believed
    Given a server that answers a part of a request with a framed 413, then resets
    When a write to the store of 4 MB is sent to it
    Then it is refused with status 413
