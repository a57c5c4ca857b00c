Feature: Commands on version moves

  Background:
    Given a store that holds the example as production and trial

  Scenario: A move is started once, shown, aborted and started again
    When an operator runs "move start --service slots --to-version v2 --within-s 900 --council brunner KEY"
    Then the command ends with 0 and "started"
    And the stored move of "slots" goes from "v1" to "v2" in stage "planned"
    When an operator runs "move start --service slots --to-version v2 --within-s 900 --council brunner KEY"
    Then the command ends with 1 and "refused"
    When an operator runs "move show --service slots"
    Then the command ends with 0 and "found"
    When an operator runs "move abort --service slots --council brunner KEY"
    Then the command ends with 0 and "aborted"
    And the stored move of "slots" goes from "v1" to "v2" in stage "rolled_back"
    When an operator runs "move start --service slots --to-version v2 --within-s 900 --council brunner KEY"
    Then the command ends with 0 and "started"

  Scenario Outline: A move needs its council, key, service, version and time
    When an operator runs "move start <options>"
    Then the command ends with 1 and "refused"

    Examples:
      | options                                                                   |
      | --service slots --to-version v2 --within-s 900 --council tolgyfa KEY      |
      | --service slots --to-version v2 --within-s 900 --council brunner          |
      | --service ghost --to-version v2 --within-s 900 --council brunner KEY      |
      | --service slots --to-version v9 --within-s 900 --council brunner KEY      |
      | --service slots --to-version v1 --within-s 900 --council brunner KEY      |
      | --service slots --to-version v2 --within-s 5 --council brunner KEY        |
      | --service slots --to-version v2 --within-s nan --council brunner KEY      |

  Scenario: A driver that writes first makes an abort a conflict
    When an operator runs "move start --service slots --to-version v2 --within-s 900 --council brunner KEY"
    And the driver writes the move of "slots" just before the next write
    And an operator runs "move abort --service slots --council brunner KEY"
    Then the command ends with 3 and "conflict"

  Scenario Outline: A document cannot shift requests past a move
    Given the move of "slots" from "v1" to "v2" has the stage "<stage>"
    When service "slots" is changed from "<old>" to "<new>" by "apply CHANGED --base-version 7 --council brunner KEY"
    Then the command ends with <code> and "<outcome>"

    Examples:
      | stage       | old               | new               | code | outcome |
      | none        | version = v1      | version = v2      | 1    | refused |
      | planned     | version = v1      | version = v2      | 1    | refused |
      | shifting    | versions = v1, v2 | versions = v1     | 1    | refused |
      | done        | version = v1      | version = v2      | 0    | applied |
      | done        | versions = v1, v2 | versions = v1     | 1    | refused |
      | rolled_back | version = v1      | version = v2      | 1    | refused |
      | rolled_back | versions = v1, v2 | versions = v1, v3 | 0    | applied |

  Scenario: A move that is done is taken back by a move the other way
    Given the move of "slots" from "v1" to "v2" has the stage "done"
    When an operator runs "move start --service slots --to-version v2 --within-s 900 --council brunner KEY"
    Then the command ends with 1 and "refused"
    When service "slots" is changed from "version = v1" to "version = v2" by "apply CHANGED --base-version 7 --council brunner KEY"
    Then the command ends with 0 and "applied"
    When an operator runs "move start --service slots --to-version v1 --within-s 900 --council brunner KEY"
    Then the command ends with 0 and "started"
    And the stored move of "slots" goes from "v2" to "v1" in stage "planned"
