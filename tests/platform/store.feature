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

  # Guards against versions that go backwards, which made a fencing token fall
  # and a newer configuration look stale.
  Scenario: What is written after a restore has a later version
    Given a store with the platform's dialect
    When an object is written twice, and once more after a restore
    Then its version has increased each time

  # Guards against changes that a watch never reports, since their revisions
  # were given out again behind the revision that it waits for.
  Scenario Outline: A watch from before a restore has lost its history
    Given a store with the platform's dialect
    When a watch begins and the store is restored, with <count> writes since
    Then the watch fails with a lost-history error

    Examples:
      | count |
      | 0     |
      | 1     |
      | 2     |
      | 6     |

  # Guards against a write that replaces another one's, whose revision is equal
  # by chance.
  Scenario Outline: A write on a version from before a restore is a conflict
    Given a store with the platform's dialect
    When an object's version from before a restore is given out again
    And an instance that <knowledge> writes on the earlier version
    Then the write was a conflict

    Examples:
      | knowledge              |
      | has seen the restore   |
      | has not seen it        |

  # Guards against an answer that was on its way during the restore.
  Scenario: An answer from before a restore is not used after it
    Given a store with the platform's dialect
    When the store answers from before a restore, after an answer of now
    Then the late answer counts as none

  # Guards against a list that mixes objects of before and after.
  Scenario: A list whose pages come from before and after a restore is no list
    Given a store with the platform's dialect
    When the store is restored between two pages of a list
    Then the list counts as not answered

  # Guards against a follower that hears nothing more, and one that keeps what
  # was lost.
  Scenario Outline: A follower has the objects of the restored store
    Given a store with the platform's dialect
    When objects are followed through a restore, with <count> writes since
    Then the follower has the objects that the store has

    Examples:
      | count |
      | 0     |
      | 1     |
      | 2     |
      | 6     |
