Feature: Changes of a document

  Scenario Outline: A council changes its own sections only
    Given a change of the example from "<old>" to "<new>" by "<council>"
    Then the change is <outcome>

    Examples:
      | old                       | new                         | council   | outcome |
      | budget_per_hour = 60      | budget_per_hour = 90        | operators | allowed |
      | budget_per_hour = 60      | budget_per_hour = 90        | all       | allowed |
      | budget_per_hour = 60      | budget_per_hour = 90        | brunner   | refused |
      | versions = v1, v2         | versions = v1, v2, v3       | brunner   | refused |
      | versions = v1, v2         | versions = v1, v2, v3       | all       | allowed |
      | classes = patient         | classes = chat              | tolgyfa   | refused |
      | weight = 3                | weight = 9                  | brunner   | allowed |
      | weight = 3                | weight = 9                  | tolgyfa   | refused |
      | weight = 3                | weight = 9                  | operators | refused |
      | [environment]             | [council new]\n[environment] | brunner  | refused |
      | [environment]             | [council new]\n[environment] | operators | allowed |

  Scenario: A change of an older version meets a conflict with a remedy
    Given the stored example has version 8
    Then a change based on version 7 is a conflict with version 8

  Scenario: A stored document with faults is replaced by all councils only
    Given the stored document is invalid
    Then a change by "all" may replace it, but a change by "brunner" may not
