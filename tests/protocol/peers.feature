Feature: Envelopes between peers

  Scenario: An exchange is read back as it was written
    Then any exchange is read back as it was written

  Scenario: Bytes that hold no exchange are refused
    Then any bytes give an exchange or an envelope error

  Scenario: A signature covers every field
    Given a signed envelope
    Then the envelope passes with its own key
    And the envelope fails with another key
    And the envelope fails when any one field is changed

  Scenario: An envelope passes the replay guard once
    Given a signed envelope
    When the replay guard has let it through
    Then the replay guard refuses the envelope as "replayed"

  Scenario: Crossed envelopes pass the replay guard
    Then sequence numbers 3, 1 and 2 pass and 2 does not pass again
    And a sequence number far below the highest does not pass

  Scenario: A late envelope is refused
    Given a signed envelope
    Then the replay guard refuses the envelope 31 seconds late as "stale"
    And the replay guard refuses the envelope 31 seconds early as "stale"

  Scenario: An envelope of an earlier process is refused
    Given a signed envelope
    When the replay guard has met a later process of its sender
    Then the replay guard refuses the envelope as "stale"

  Scenario: The replay guard is bounded without opening a gap
    Given a replay guard for 2 senders
    Then a third sender is refused while two are fresh
    And it passes when the others can no longer be fresh
    And a long run of one sender keeps a bounded number of sequence numbers
