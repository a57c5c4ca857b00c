Feature: Retries beside an attempt that goes on

  # Guards against a stream that is cut because no retry is left after a crash:
  # streams whose endpoint only pauses have used all of them.
  Scenario: A stream whose endpoint crashes is resumed while others are silent
    Given 12 streams that fall silent together and are refused elsewhere
    When the endpoint of another stream crashes 0.9 s later
    Then the other stream is resumed and complete
