Feature: Retries beside an attempt that goes on

  # Guards against a stream that is cut because no retry is left after a crash:
  # streams whose endpoint only pauses have used all of them.
  Scenario: A stream whose endpoint crashes is resumed while others are silent
    Given 12 streams that fall silent together and are refused elsewhere
    When the endpoint of another stream crashes 0.9 s later
    Then the other stream is resumed and complete

  # Guards against one silent stream that uses all retries by asking others
  # again and again, although they have refused it.
  Scenario Outline: Others are asked ever more rarely while one is silent
    Given <kind> whose endpoint <behaviour>, and enough retries
    When its caller waits for 4 s, while the others refuse the request
    Then the others have been asked in <count> rounds

    Examples:
      | kind                  | behaviour                        | count |
      | a resumable stream    | falls silent                     | 3     |
      | a resumable stream    | pauses for 1.5 s and 0.8 s       | 3     |
      | a resumable stream    | sends only a comment each 0.35 s | 3     |
      | an idempotent request | answers nothing                  | 3     |

  # Guards against connections that are closed unused, or opened for nothing,
  # by attempts for which no retry is left.
  Scenario: Without a retry no connection of another endpoint is taken
    Given an instance with an idle connection to an endpoint, and no retry
    When a stream at another endpoint is silent for 1 s
    Then the next request to the endpoint uses the idle connection

  # Guards against retries that are spent although no request is sent with them,
  # so that a failed attempt finds none.
  Scenario Outline: Only a request that is sent spends a retry
    Given a stream that <behaviour>, while <others>
    When it has been read as far as possible
    Then others have got <count> requests, and as many retries are spent

    Examples:
      | behaviour        | others                                              | count |
      | pauses for 0.6 s | the others refuse connections                       | 0     |
      | pauses for 0.6 s | the others close connections at once                | 0     |
      | pauses for 0.6 s | one closes connections, and one refuses the request | 1     |
      | breaks off       | the others refuse connections                       | 0     |

  # Guards against a stream that is cut after the crash of its endpoint, because
  # its peers had been chosen while it was silent, though none could be asked.
  Scenario Outline: A peer is asked after a crash unless it may have run a stream
    Given an instance without paths, and a peer that <behaviour>
    And <retries>
    When the endpoint of a stream is silent for 1 s and crashes
    Then the peer has got 1 request
    And the stream is <state>

    Examples:
      | behaviour       | retries                     | state    |
      | can forward     | one retry after failures    | complete |
      | answers nothing | enough retries for silences | cut      |
      | breaks off      | enough retries for silences | cut      |

  # Guards against a peer that is preferred to others as one that has helped,
  # though it has not been asked.
  Scenario: A peer that was not asked counts as no helpful one
    Given an instance without paths, and a peer that can forward
    And one retry after failures
    When the endpoint of a stream is silent for 1 s and goes on
    Then the peer has got 0 requests
    And another peer is chosen as well after one that could not help
