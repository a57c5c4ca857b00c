Feature: Attempts that end before their answers are complete

  # Guards against an endpoint that hangs and gets new streams all the same: each
  # of them counted as a success at its deadline, or when its caller left. Guards
  # as well against streams to their deadline that count for nothing.
  Scenario Outline: Only what an endpoint has shown counts for it
    Given an endpoint that has failed twice
    And a forwarded stream whose endpoint <behaviour>
    When <end>
    Then the endpoint has <failures> failures in a row
    And the retry budget has the credit of <successes> successes

    Examples:
      | behaviour                     | end                                                  | failures | successes |
      | is silent for good after 2    | its deadline passes                                  | 3        | 0         |
      | is silent for good after 2    | its caller leaves                                    | 2        | 0         |
      | is silent for good            | its caller leaves                                    | 2        | 0         |
      | sends only comments after 2   | its deadline passes                                  | 3        | 0         |
      | sends only comments after 2   | its caller leaves                                    | 2        | 0         |
      | pauses shortly before the end | its deadline passes                                  | 0        | 1         |
      | goes on without an end        | its deadline passes                                  | 0        | 1         |
      | goes on without an end        | its deadline passes before a slow caller has read it | 2        | 0         |
      | is silent for good after 2    | its deadline passes before a slow caller has read it | 2        | 0         |
      | goes on without an end        | its caller leaves                                    | 0        | 1         |
      | pauses for long and ends      | it is complete                                       | 0        | 1         |
      | hangs after its head          | its caller leaves                                    | 2        | 0         |
      | hangs after its head          | its caller leaves after 0.15 s                       | 2        | 0         |
      | sends only comments           | its caller leaves                                    | 2        | 0         |

  # Guards against an endpoint that hangs after its head and gets new streams all
  # the same, if they have no gap goal.
  Scenario Outline: Without a gap goal only an event counts for an endpoint
    Given an endpoint that has failed twice
    And a forwarded stream without a gap goal whose endpoint <behaviour>
    When its caller leaves
    Then the endpoint has <failures> failures in a row
    And the retry budget has the credit of <successes> successes

    Examples:
      | behaviour                  | failures | successes |
      | hangs after its head       | 2        | 0         |
      | is silent for good after 2 | 0        | 1         |

  # Guards against an endpoint that gets one request at a time for ever, since the
  # streams that it sends until their deadlines do not close its circuit.
  Scenario: A stream that goes on until its deadline closes the circuit
    Given an endpoint whose circuit is half open
    And a forwarded stream whose endpoint goes on without an end
    When its deadline passes
    Then the circuit of the endpoint is closed

  # Guards against a failure that is passed on and counts as a success.
  Scenario: A failure that is passed on says nothing about its endpoint
    Given an endpoint that has failed twice
    And a request that may not run twice, which fails with a 500
    When it is complete
    Then the endpoint has 2 failures in a row
    And the retry budget has the credit of 0 successes

  # Guards against an endpoint that answers nothing but failures, and gets no
  # request any more or is taken for sound.
  Scenario: A failure that is passed on leaves a circuit half open
    Given an endpoint whose circuit is half open
    And a request that may not run twice, which fails with a 500
    When it is complete
    Then the circuit of the endpoint is half open
    And it admits a request

  # Guards against new work at an endpoint whose work seems to be taken back,
  # although it has been sent.
  Scenario Outline: Work that was sent to another endpoint stays counted
    Given a forwarded stream whose endpoint pauses for long and ends
    And <another>
    When it is complete
    Then the other endpoint is expected to be <state>

    Examples:
      | another                                  | state |
      | another endpoint that answers too late   | busy  |
      | another endpoint, but no retry to ask it | idle  |
