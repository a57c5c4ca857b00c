Feature: Aggregates over all instances

  Scenario Outline: Every instance learns what the others have under way
    Given instances in the domains <domains>
    When each instance has a demand of 10 and reports for 3 rounds
    Then each instance receives a demand of <others> from <count> others

    Examples:
      | domains     | others | count |
      | a           | 0      | 0     |
      | a a a       | 20     | 2     |
      | a a a b b c | 50     | 5     |

  Scenario: An instance that stops reporting is forgotten
    Given instances in the domains a a b b
    When each instance has a demand of 10 and reports for 3 rounds
    And instance 3 stops and the others report for 8 rounds
    Then each instance receives a demand of 20 from 2 others

  Scenario: Malformed aggregate reports are refused
    Then bytes that are not a report are refused

  # Builds of level 0 reject a report with a table that they don't know.
  Scenario: A table that is empty is left out of the report
    Then a report without work times has the tables of level 0 only
    And a report with work times is read back unchanged
