Feature: The platform's dialect of the object API

  Scenario: Own objects keep their content and their change id
    Given a store that speaks the platform's dialect
    When an own object is written and read again
    Then its content, version and change id are as written

  Scenario: A write under a wrong condition changes nothing
    Given a store that speaks the platform's dialect
    When an own object is written twice with the same condition
    Then the second write is a conflict with the version that is there

  Scenario Outline: Answers of a store in trouble
    Given a store that speaks the platform's dialect
    When it answers a write with <status>
    Then the outcome of the write is <outcome>

    Examples:
      | status | outcome             |
      | 503    | WriteRejected       |
      | 429    | WriteRejected       |
      | 409    | WriteRejected       |
      | 404    | WriteRejected       |
      | 500    | WriteOutcomeUnknown |

  Scenario: Lists go on over their pages
    Given a store that speaks the platform's dialect
    When 7 objects are listed in pages of 3
    Then all 7 are found, as of the revision of the first page

  Scenario: A watch tells of changes and removals
    Given a store that speaks the platform's dialect
    When an object changes and another is removed during a watch
    Then the watch tells of both

  Scenario: A watch whose history is gone says so
    Given a store that speaks the platform's dialect
    When the history of a watch is gone
    Then the watch is refused as lost history

  Scenario: A watch that is followed is listed anew after lost history
    Given a store that speaks the platform's dialect
    When the objects of a kind are followed over lost history
    Then the list is read twice and nothing is missed
