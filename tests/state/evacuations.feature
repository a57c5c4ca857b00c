Feature: Evacuations as reported by the store and by peers

  # Guards against an evacuation that an old report keeps alive or ends.
  Scenario Outline: Reports in any order
    Given a table of evacuations that has received <first>
    When the table of evacuations receives <second>
    Then the domain d is <state>

    Examples: A report of a peer after a complete list
      | first                | second          | state     |
      | an empty list at 9   | a request at 7  | in use    |
      | an empty list at 9   | a request at 9  | in use    |
      | an empty list at 9   | a request at 10 | evacuated |
      | a list of 5 at 9     | an end at 4     | evacuated |
      | a list of 5 at 9     | an end at 5     | in use    |
      | a list of 5 at 9     | an end at 12    | in use    |

    Examples: A complete list after a report
      | first           | second              | state     |
      | a request at 7  | an empty list at 9  | in use    |
      | a request at 7  | an empty list at 6  | evacuated |
      | an end at 12    | a list of 5 at 9    | in use    |
      | an end at 4     | a list of 5 at 9    | evacuated |

    Examples: Two reports
      | first           | second          | state     |
      | a request at 7  | an end at 7     | in use    |
      | an end at 7     | a request at 7  | in use    |
      | a request at 7  | an end at 6     | evacuated |
      | an end at 7     | a request at 8  | evacuated |
      | a request at 8  | a request at 7  | evacuated |
