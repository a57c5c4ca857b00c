Feature: Short soak over a restore of the store

  # Guards against two holders of the duties, usage reported twice with
  # different counts, a configuration that goes back, requests to endpoints that
  # have left and lost answers, while restores of the store, signals and changes
  # overlap.
  Scenario: A fixed seed with restores of the store breaks no rule
    When tools.soak runs seed 286 with 3 instances for 38 seconds
    Then tools.soak finds no violation

  # Guards against streams that are cut, joined wrongly or run at two endpoints
  # at once because their endpoints pause while an instance stops.
  Scenario: A fixed seed with pausing endpoints around stops break no rule
    When tools.soak reads 60 streams with seed 4 for 40 seconds
    Then tools.soak finds no violation

  # Guards against a check that finds nothing, or that counts what the rules
  # excuse.
  Scenario Outline: A violation in the records is found
    Given records of a run with <fault>
    Then the soak's checks find <found>

    Examples: Duties
      | fault                                        | found           |
      | a window reported twice with the same counts | nothing         |
      | a window reported twice with other counts    | ONE             |
      | one token from two holders                   | ONE             |
      | a lower token in calm                        | ONE             |
      | a lower token just after a thaw              | ONE not counted |
      | a lower token just after a restore           | ONE not counted |
      | holders A, B, A within the lease             | ONE             |
      | holders A, B, A in a longer time             | nothing         |

    Examples: Configuration
      | fault                                               | found   |
      | an added route refused within the bound             | nothing |
      | an added route refused after the bound              | CONFIG  |
      | an added route refused after the bound by a restore | nothing |
      | a removed route served after the bound              | CONFIG  |
      | a route refused after it was served                 | CONFIG  |
      | a route refused after it was served, by a new life  | nothing |

    Examples: Endpoints and requests
      | fault                                          | found             |
      | a request to an endpoint with a draining entry | DRAIN             |
      | a request to an endpoint in a disturbed store  | DRAIN not counted |
      | a late request, in touch after a refusal       | DRAIN             |
      | a late request soon after a refusal            | DRAIN not counted |
      | a request to an endpoint that said it leaves   | DRAIN             |
      | a first request to an endpoint that leaves     | nothing           |
      | a planned stop that cuts a request off         | LOST              |
      | a kill that cuts a request off                 | nothing           |
      | a single request that runs twice               | TWICE             |
      | a single request that runs and is answered 503 | REFUSED           |
      | an answer to another request                   | MIXED             |
      | a process that ends by itself                  | EXIT              |

    Examples: Streams
      | fault                                              | found            |
      | a paused stream cut in a planned stop              | LOST             |
      | a stream silent for good cut in a planned stop     | LOST             |
      | four paused streams cut in calm                    | LOST             |
      | a paused stream cut in calm                        | LOST not counted |
      | a stream broken off by its endpoint in a stop      | LOST not counted |
      | a stream cut at its deadline in a stop             | LOST not counted |
      | an early stream cut in the last sixth of the grace | LOST not counted |
      | a late stream cut in the last sixth of the grace   | LOST             |
      | a stream that looks complete before its end        | ORDER            |
      | a stream with an event twice                       | ORDER            |
      | a stream with an event of another stream           | ORDER            |
      | a stream without its last events, cut by a kill    | LOST not counted |
      | a stream at three endpoints                        | BUDGET           |
      | a stream at two endpoints for 0.5 s                | TWICE            |
      | a stream at two endpoints for 0.3 s                | nothing          |
