Feature: Group commit of booking claims

  Scenario: One of two owners that claim the same key is refused the run
    Given two owners of one claim bucket
    When both owners claim key "a" at once
    Then exactly one owner is granted key "a"

  Scenario: Claims that arrive during a write share the next write
    Given two owners of one claim bucket
    When the first owner claims 50 keys one after another
    Then the store accepted at most 2 claim writes

  Scenario: A lost answer after the effect still grants the claim once
    Given two owners of one claim bucket
    And the store applies the next claim write and loses its answer
    When both owners claim key "a" at once
    Then exactly one owner is granted key "a"

  Scenario: A paused owner is not granted an attempt settled meanwhile
    Given two owners of one claim bucket
    And the store applies the next claim write and loses its answer
    When the first owner claims key "a" and pauses before reading again
    And the second owner resolves key "a" as not run
    Then the first owner is not granted key "a" when it resumes

  Scenario: A final outcome is never replaced
    Given two owners of one claim bucket
    When the first owner runs key "a" and records done
    And the second owner records not run for the same attempt
    Then the stored state of key "a" is done

  Scenario: The same key with another body is refused
    Given two owners of one claim bucket
    When the first owner claims key "a"
    And the second owner claims key "a" with another body
    Then the second owner gets the result that the key is reused

  Scenario: A store that is down grants nothing
    Given two owners of one claim bucket
    And the store is down for claims
    When the first owner claims key "a"
    Then the first owner gets the result that key "a" is unwritten

  Scenario: Any order of claims, outcomes and lost answers grants an attempt once
    Then random histories of 3 claim owners grant each attempt to one owner

  Scenario Outline: Keys carry their time
    Then booking key "<text>" at age <age_s> seconds is <kind>

    Examples:
      | text                   | age_s | kind         |
      | 1764806400-7f3a9c21e4  | 60    | BookingKey   |
      | 1764806400-7f3a9c21e4  | 86401 | ExpiredKey   |
      | 1764806400-7f3a9c21e4  | -400  | MalformedKey |
      | 7f3a9c21e4             | 0     | MalformedKey |

  Scenario: A bucket expires only after the last key that it may hold
    Then no booking key that is still accepted is in an expired bucket
