Feature: Copy of the stored objects of a kind

  Scenario Outline: A reader gets what it lacks
    Given a log of the objects a and b as of revision 5
    And a read from revision 5 to 8 that changed a
    And a read from revision 8 to 9 without a change
    And a read from revision 9 to 12 that deleted b
    When a reader at revision <after> asks for changes
    Then it gets <items> as <form> up to revision 12

    Examples:
      | after | items      | form        |
      | none  | a          | all objects |
      | 3     | a          | all objects |
      | 5     | a, deleted b | changes   |
      | 7     | a          | all objects |
      | 8     | deleted b  | changes     |
      | 9     | deleted b  | changes     |
      | 12    | nothing    | changes     |

  Scenario: A reader that is ahead gets nothing
    Given a log of the objects a and b as of revision 5
    When a reader at revision 6 asks for changes
    Then it gets no answer

  Scenario: A reader far behind gets all objects
    Given a log of the objects a and b as of revision 5
    And 300 reads that each changed a
    When a reader at revision 5 asks for changes
    Then it gets a, b as all objects up to revision 305
