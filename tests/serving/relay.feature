Feature: Relaying of token streams

  # Guards against a prompt that is sent to an engine which has left since it
  # was chosen; the attempt counts neither as run nor as a retry.
  Scenario Outline: An engine that leaves before the send gets no prompt
    Given a relay before 3 engines
    When the first <count> engines that it chooses leave before the send
    Then the relay's answer is whole and came from the engine that stays
    And the relay waited for no retry, and no load stays counted

    Examples:
      | count |
      | 1     |
      | 2     |
