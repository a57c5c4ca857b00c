Feature: Commands on documents

  Background:
    Given a store that holds the example as production and trial

  Scenario: A whole document passes the check
    When an operator runs "check examples/production.ini"
    Then the command ends with 0 and "whole"

  Scenario: A faulty document fails with each fault as data
    When an operator runs "check CHANGED" with "kind = plain" replaced by "kind = odd"
    Then the command ends with 1 and "refused"
    And the faults name section, key, message and remedy

  Scenario: A document is shown with its version and bytes
    When an operator runs "show"
    Then the command ends with 0 and "found"
    And the report has version 7 and the bytes of the example

  Scenario: A diff names the changed sections and their councils
    When an operator runs "diff CHANGED" with "weight = 3" replaced by "weight = 9"
    Then the command ends with 0 and "different"
    And the report names section "client_account brunner-households" owned by "brunner"

  Scenario Outline: Only the owner with its key applies a change on its base
    When an operator runs "<command>" with "weight = 3" replaced by "weight = 9"
    Then the command ends with <code> and "<outcome>"
    And production is at version <version>

    Examples:
      | command                                                | code | outcome  | version |
      | apply CHANGED --base-version 7 --council brunner KEY    | 0    | applied  | 9       |
      | apply CHANGED --base-version 7 --council brunner        | 1    | refused  | 7       |
      | apply CHANGED --base-version 7 --council brunner WRONG  | 1    | refused  | 7       |
      | apply CHANGED --base-version 7 --council tolgyfa KEY    | 1    | refused  | 7       |
      | apply CHANGED --base-version 7 --council operators KEY  | 1    | refused  | 7       |
      | apply CHANGED --base-version 7 --council all KEY        | 0    | applied  | 9       |
      | apply CHANGED --base-version 7 --council ghost KEY      | 1    | refused  | 7       |
      | apply CHANGED --base-version 6 --council brunner KEY    | 3    | conflict | 7       |
      | apply CHANGED --base-version 0 --council brunner KEY    | 3    | conflict | 7       |
      | apply CHANGED --base-version 0 --environment new --council all KEY | 0 | applied | 7  |

  Scenario Outline: Races and lost answers end with a clear outcome
    Given the store has "<fault>" at the next writes
    When an operator runs "apply CHANGED --base-version 7 --council brunner KEY" with "weight = 3" replaced by "weight = 9"
    Then the command ends with <code> and "<outcome>"
    And production is at version <version>

    Examples:
      | fault             | code | outcome     | version |
      | race              | 3    | conflict    | 9       |
      | lost              | 0    | applied     | 9       |
      | dropped           | 0    | applied     | 9       |
      | dropped lost      | 0    | applied     | 9       |
      | lost stale        | 0    | applied     | 9       |
      | dropped race      | 5    | unknown     | 9       |
      | lost race         | 5    | unknown     | 10      |
      | dropped dropped dropped | 5 | unknown  | 7       |
      | outage            | 4    | unavailable | 7       |
      | outage-at-write   | 5    | unknown     | 7       |

  Scenario: A change that only the trial has had in force is promoted
    Given the trial document changes "weight = 3" to "weight = 9" at version 9
    And an instance reports version 9 of the trial document
    When an operator runs "promote --from trial --to production --council brunner KEY"
    Then the command ends with 0 and "promoted"
    And production has the bytes of the trial document
    When the instances stop and production gets the example again
    And an operator runs "promote --from trial --to production --council brunner KEY"
    Then the command ends with 0 and "promoted"

  Scenario Outline: What was not in force is not promoted
    Given the trial document changes "weight = 3" to "weight = 9" at version 9
    And an instance reports <report> of the trial document
    When an operator runs "promote --from trial --to production --council brunner KEY"
    Then the command ends with 1 and "refused"
    And production is at version 7

    Examples:
      | report                      |
      | version 8                   |
      | version 9 with other bytes  |
      | version 9 while not ready   |

  Scenario: A promotion is refused or in conflict like any change
    Given the trial document changes "weight = 3" to "weight = 9" at version 9
    And an instance reports version 9 of the trial document
    When an operator runs "promote --from trial --to production --council tolgyfa KEY"
    Then the command ends with 1 and "refused"
    When an operator runs "promote --from trial --to production --base-version 6 --council brunner KEY"
    Then the command ends with 3 and "conflict"

  Scenario: A missing document or file is told with its remedy
    When an operator runs "show --environment none"
    Then the command ends with 1 and "refused"
    When an operator runs "check /nowhere"
    Then the command ends with 2 and "usage"
