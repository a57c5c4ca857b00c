Feature: Draws are read and written

  # Guards against fields that an instance of the last build gets, and against
  # a fault in a peer's message that ends the reader.
  Scenario: The question for room in a draw
    Given a draw with a question for room
    Then the question is read back, and left out for older builds
    And a malformed question "{"rank": 1}" is refused as malformed
    And a malformed question "[]" is refused as malformed
    And a refusal for lack of room is read back, and absent otherwise
