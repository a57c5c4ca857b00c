Feature: Codec, signature and replay guard of envelopes

  Scenario: An exchange is read back as it was written
    Then any exchange survives an encoding round trip

  Scenario: Bytes that hold no exchange are refused
    Then decoding any bytes returns an exchange or raises an envelope error

  Scenario: A signature covers every field
    Given a signed envelope
    Then the envelope verifies with the key that signed it
    And the envelope fails verification with another key
    And the envelope fails verification when any one field is changed

  Scenario: An envelope passes the replay guard once
    Given a signed envelope
    When the replay guard has accepted the envelope
    Then the replay guard refuses the envelope as "replayed"

  Scenario: Crossed envelopes pass the replay guard
    Then sequence numbers 3, 1 and 2 are accepted and a second 2 is refused
    And a sequence number far below the highest is refused

  Scenario: A late envelope is refused
    Given a signed envelope
    Then the replay guard refuses the envelope 31 seconds late as "stale"
    And the replay guard refuses the envelope 31 seconds early as "stale"

  Scenario: An envelope of an earlier process is refused
    Given a signed envelope
    When the replay guard has accepted a later incarnation of the sender
    Then the replay guard refuses the envelope as "stale"

  Scenario: The replay guard is bounded without opening a gap
    Given a replay guard for 2 senders
    Then a third sender is refused while two are fresh
    And the third sender is accepted when the other two can no longer be fresh
    And many envelopes of one sender keep a bounded number of sequence numbers
