Feature: Draws are read and written

  # Guards against fields that an instance of the last build gets, and against
  # a fault in a peer's message that ends the reader.
  Scenario: The question for room in a draw
    Given a draw with a question for room
    Then the question is read back, and left out for older builds
    And a malformed question "{"rank": 1}" is refused as malformed
    And a malformed question "[]" is refused as malformed
    And a refusal for lack of room is read back, and absent otherwise

  # Guards against a field that an older build gets, and against a restriction
  # that is lost on the way to a holder or to a peer that forwards.
  Scenario Outline: The allowed regions in a draw and in a forwarded request
    Given a forwarded request that is allowed in <regions>
    Then its draw at level 1 is read back with <regions>
    And its draw at level 0 names no regions
    And its call of a peer is read back with <regions>

    Examples:
      | regions |
      | any     |
      | r1,r2   |
      | nowhere |
