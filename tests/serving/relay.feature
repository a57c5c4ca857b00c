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

  # Guards against a stream that is cut at an engine that will be reclaimed and
  # still works, because no other engine accepts it.
  Scenario: A stream stays at a reclaimed engine that no other replaces
    Given a relay before 1 engines
    And its engine is reclaimed after the first token
    When the relay runs
    Then the relay's answer is whole and all of it came from its first engine
    And no load stays counted

  Scenario: A stream leaves a reclaimed engine that another replaces
    Given a relay before 3 engines
    And its engine is reclaimed after the first token
    When the relay runs
    Then the relay's answer is whole and its rest came from another engine
    And no load stays counted
