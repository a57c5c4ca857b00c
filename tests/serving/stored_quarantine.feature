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

  # Guards against a part that crashes endpoints anew once all processes that
  # knew it are gone, since a restore of the store has lost its entry.
  Scenario: A part that a restore has lost is written again
    Given an instance whose quarantine is stored over a store that was copied
    When part a crashes 3 endpoints there
    And the instance performs the duty
    And the store of the quarantine is restored
    And the instance performs the duty
    And an instance starts anew over the same store
    Then it refuses prompts with part a

  # Guards against a part that is quarantined again although it is sound, since
  # a restore of the store has brought its entry back.
  Scenario: A part that was removed before a restore is removed again
    Given an instance whose quarantine is stored over a store that was copied
    When part a crashes 3 endpoints there
    And the instance performs the duty
    And the store of the quarantine is copied
    And an answer with part a begins there
    And the instance performs the duty
    And the store of the quarantine is restored
    And the instance performs the duty
    Then no part is stored

  # Guards against a removal that is taken for done, since the version of before
  # a restore is a conflict.
  Scenario: A part that is sound after a restore is removed
    Given an instance whose quarantine is stored over a store that was copied
    When part a crashes 3 endpoints there
    And the instance performs the duty
    And the store of the quarantine is copied
    And the store of the quarantine is restored
    And an answer with part a begins there
    And the instance performs the duty
    Then no part is stored

  # Guards against an entry that is removed by a holder that has not heard of it
  # by gossip.
  Scenario: A part that only the restored store knows stays
    Given an instance whose quarantine is stored over a store that was copied
    When part a crashes 3 endpoints there
    And the instance performs the duty
    And the store of the quarantine is copied
    And another instance that knows no part performs the duty after a restore
    And an instance starts anew over the same store
    Then it refuses prompts with part a

  # Guards against a request crashing endpoints anew after each kill of all
  # processes.
  Scenario Outline: A request that crashed endpoints stays so at a new start
    Given an instance whose quarantine is stored
    When request f crashes <count> endpoints there, <how>
    And the instance performs the duty
    And an instance starts anew over the same store
    Then it refuses request f after <more> more, <how>

    Examples:
      | count | how           | more |
      | 2     | alone         | 0    |
      | 4     | beside others | 0    |
      | 3     | beside others | 1    |

  Scenario: A request that was only at a crash is not stored
    Given an instance whose quarantine is stored
    When request f crashes 2 endpoints there, beside others
    And the instance performs the duty
    Then no part is stored

  Scenario: A request that was completed after all is removed
    Given an instance whose quarantine is stored
    When request f crashes 2 endpoints there, alone
    And the instance performs the duty
    And request f is completed there
    And the instance performs the duty
    Then no part is stored
