Feature: The platform's dialect of the object API

  Scenario: Own objects keep their content and their change id
    Given a store with the platform's dialect
    When an object of the product is written and read again
    Then its content, version and change id are as written

  Scenario: A write under a wrong condition changes nothing
    Given a store with the platform's dialect
    When an object of the product is written twice with the same expected version
    Then the second write is a conflict that returns the current version

  Scenario Outline: Answers of a store in trouble
    Given a store with the platform's dialect
    When the store answers a write with <status>
    Then the outcome of the write is <outcome>

    Examples:
      | status | outcome             |
      | 503    | WriteRejected       |
      | 429    | WriteRejected       |
      | 409    | WriteRejected       |
      | 404    | WriteRejected       |
      | 500    | WriteOutcomeUnknown |

  Scenario: Lists go on over their pages
    Given a store with the platform's dialect
    When 7 objects are listed in pages of 3
    Then all 7 are found, as of the revision of the first page

  Scenario: A watch tells of changes and removals
    Given a store with the platform's dialect
    When an object changes and another is removed during a watch
    Then the watch reports both changes

  Scenario: A watch whose history is gone says so
    Given a store with the platform's dialect
    When the store no longer has the history for a watch
    Then the watch fails with a lost-history error

  Scenario: A watch that is followed is listed anew after lost history
    Given a store with the platform's dialect
    When the objects of a kind are followed and the history is lost
    Then the list is read twice and no object is missed
