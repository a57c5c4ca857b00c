Feature: Headers forwarded between callers and endpoints

  Scenario: What a caller may not set never reaches an endpoint
    Given a caller's request with every header of the platform forged
    Then the endpoint receives only system headers and allowed caller headers

  Scenario: The key stays here and the account is named
    Given a caller's request with every header of the platform forged
    Then the endpoint receives the account and not the key

  Scenario: The time that is left shrinks
    Given a caller's request with every header of the platform forged
    Then an attempt with 1.25 s remaining sends a Deadline-Ms of 1250 ms

  Scenario: Headers of one connection are dropped
    Given a caller's request that names its own connection headers
    Then none of these headers is forwarded

  Scenario: A prompt becomes a chain of parts
    Given a request whose prompt has the parts a:800, b:400 and c:250
    Then its prompt chain has the ends 800, 1200 and 1450
    And it shares two parts with a request of a:800, b:400 and d:10
    And it shares none with the same parts of another model

  Scenario Outline: A bad header is named
    Given a request whose <header> is <value>
    Then the header is refused, naming <header>

    Examples:
      | header        | value |
      | Deadline-Ms   | soon  |
      | Token-Usage   | many  |
      | Prompt-Prefix | a:b   |
      | Token-Usage   | -1000,1 |
      | Token-Usage   | 400 digits |
      | Token-Usage   | 5000 digits |
      | Prompt-Prefix | a:-1  |
      | Prompt-Prefix | a:1,b:400 digits |
      | Prompt-Prefix | a:5000 digits |
      | Deadline-Ms   | nan   |

  # A negative size was added to the credit of the client account.
  Scenario Outline: No request can raise the quota that it counts towards
    Given a request whose <header> is <value>
    Then the header is refused, naming <header>

    Examples:
      | header        | value                    |
      | Token-Usage   | -900000,10               |
      | Token-Usage   | 10,-900000               |
      | Token-Usage   | 10000000000000000000000  |
      | Prompt-Prefix | a:-800,b:400             |
      | Prompt-Prefix | a:10000000000000000000000|

  Scenario Outline: Only a request that has not run is told so
    Then a refusal of kind <kind> with execution status <ran> has HTTP status <status>

    Examples:
      | kind             | ran     | status |
      | OVER_SHARE       | NOT_RUN | 429    |
      | NO_CAPACITY      | NOT_RUN | 503    |
      | LEAVING          | NOT_RUN | 503    |
      | QUARANTINED      | NOT_RUN | 503    |
      | DEADLINE_PASSED  | NOT_RUN | 503    |
      | QUARANTINED      | PARTLY  | 502    |
      | NO_CAPACITY      | UNKNOWN | 502    |
      | OUTCOME_UNKNOWN  | UNKNOWN | 502    |
      | DEADLINE_PASSED  | UNKNOWN | 504    |
      | UNKNOWN_PATH     | NOT_RUN | 404    |
      | UNAUTHENTICATED  | NOT_RUN | 401    |
      | MALFORMED        | NOT_RUN | 400    |

  Scenario: The head of an answer is read
    Then an answer's load, idle timeout and "not run" are decoded

  # Reports of four figures were dropped, so that placement used no load.
  Scenario Outline: Load reports of three and four figures
    Then a load report "<text>" reads as "<found>"

    Examples:
      | text           | found         |
      | 3,1,8          | 3 1 8 None    |
      | 3, 1, 12, 250  | 3 1 12 2.5    |
      | 3,1,8,62.5,7,x | 3 1 8 0.625   |
      | 3,1,8,9e99     | 3 1 8 100.0   |
      | 3,1,8,nan      | nothing       |
      | 3,1,8,-100     | nothing       |
      | 3,1,8,         | nothing       |
      | 3,1            | nothing       |
      | 3,-1,8         | nothing       |
      | ²,1,8          | nothing       |
      | 5000 digits,1,8 | nothing      |
      | 1,1,400 digits | nothing       |
      | 3,1,8,400 digits | 3 1 8 100.0 |

  # A malformed header of a busy endpoint would flood the log.
  Scenario: A malformed load report is logged once
    Then of 50 malformed load reports one is logged

  Scenario Outline: The pause that an endpoint asks for
    Then an answer <status> with the retry time "<text>" asks for <pause> seconds

    Examples:
      | status | text                          | pause |
      | 503    | 2                             | 2     |
      | 503    | 0.25                          | 0.25  |
      | 503    | 0                             | 0     |
      | 503    | -3                            | 0     |
      | 503    | nan                           | 0     |
      | 503    | soon                          | 0     |
      | 503    | Fri, 04 Dec 2026 12:00:00 GMT | 0     |
      | 503    | 86400                         | 30    |
      | 503    | inf                           | 30    |
      | 429    | 2                             | 0     |
      | 200    | 2                             | 0     |

  # Guards against a rate limit that is lost, or taken from what is no number.
  Scenario Outline: The rate limit that an endpoint names
    Then an answer <status> with the limit "<text>" names <rate> requests a second

    Examples:
      | status | text   | rate       |
      | 200    | 2.6    | 2.6        |
      | 503    | 0.25   | 0.25       |
      | 429    | 0      | 0.0        |
      | 200    | 1e12   | 1000000.0  |
      | 200    | inf    | 1000000.0  |
      | 200    | -1     | unreadable |
      | 200    | nan    | unreadable |
      | 200    | a few  | unreadable |
      | 421    | 2.6    | no         |

  Scenario Outline: The rejections that a brittle endpoint bears
    Then an answer with the brittleness "<text>" bears <rejections> rejections

    Examples:
      | text | rejections |
      | 12   | 12         |
      | 0    | 0          |
      | -1   | unknown    |
      | 2.5  | unknown    |
      | many | unknown    |
      | 400 digits  | unknown |
      | 5000 digits | unknown |

  # Guards against a header that makes a request fail inside this instance.
  Scenario Outline: The idle timeout that an endpoint names
    Then an answer with the Keep-Alive "<text>" names <seconds> seconds

    Examples:
      | text                | seconds |
      | timeout=5, max=9    | 5       |
      | timeout=5000 digits | inf     |
      | timeout=٣           | no      |
      | timeout=-1          | no      |
