Feature: The quarantine in the store

  # Guards against a prompt part crashing endpoints anew, one after the other,
  # when every process that knew it has been killed.
  Scenario: A quarantined part stays so when all processes start anew
    Given an instance whose quarantine is stored
    When part a crashes 3 endpoints there
    And the instance performs the duty
    And an instance starts anew over the same store
    Then it refuses prompts with part a

  Scenario: A part that was only a suspect is not stored
    Given an instance whose quarantine is stored
    When part a crashes 2 endpoints there
    And the instance performs the duty
    Then no part is stored

  Scenario: A part is written once, whoever performs the duty
    Given an instance whose quarantine is stored
    When part a crashes 3 endpoints there
    And the instance performs the duty
    And the instance performs the duty
    And an instance starts anew over the same store
    And the instance performs the duty
    Then the store was written once

  Scenario: A part to which an answer began after all is removed
    Given an instance whose quarantine is stored
    When part a crashes 3 endpoints there
    And the instance performs the duty
    And an answer with part a begins there
    And the instance performs the duty
    Then no part is stored

  # Guards against an entry that stays for good because the store did not
  # answer its removal.
  Scenario: A removal without an answer is repeated
    Given an instance whose quarantine is stored
    When part a crashes 3 endpoints there
    And the instance performs the duty
    And an answer with part a begins there
    And the instance performs the duty while the store is away
    And the instance performs the duty
    Then no part is stored

  Scenario: An old entry is not applied and is removed
    Given an instance whose quarantine is stored
    When part a crashes 3 endpoints there
    And the instance performs the duty
    And 25 hours pass
    And an instance starts anew over the same store
    Then it accepts prompts with part a
    When the instance performs the duty
    Then no part is stored

  Scenario Outline: A malformed entry does no harm
    Given an instance whose quarantine is stored
    When the stored entry of part b is <text>
    And part a crashes 3 endpoints there
    And the instance performs the duty
    And an instance starts anew over the same store
    Then it refuses prompts with part a
    And it accepts prompts with part b

    Examples:
      | text                                  |
      | no JSON                               |
      | []                                    |
      | {"endpoints": 3, "stored_s": 1}       |
      | {"endpoints": ["e"]}                  |
      | {"endpoints": ["e"], "stored_s": "x"} |

  Scenario: A store that is away at the start is read later
    Given an instance whose quarantine is stored
    When part a crashes 3 endpoints there
    And the instance performs the duty
    And the store goes away while an instance starts anew
    Then it accepts prompts with part a
    When the store comes back and the instance reads it
    Then it refuses prompts with part a
