Feature: The check of a platform's configuration

  Background:
    Given a store that holds the example as production and trial
    And the clean configuration in the file CLEAN
    And the contradictory configuration in the file WARNED
    And the incomplete configuration in the file FAULTY
    And the malformed configuration in the file MALFORMED
    And the newer configuration in the file NEWER

  # A script decides by the exit code whether a configuration is sent.
  Scenario Outline: The exit code tells the severity
    When an operator runs "check <arguments>"
    Then the command ends with <code> and "<outcome>"

    Examples:
      | arguments                                         | code | outcome  |
      | CLEAN                                             | 0    | whole    |
      | CLEAN --strict                                    | 0    | whole    |
      | CLEAN --regions east,west                         | 0    | whole    |
      | CLEAN --regions west                              | 2    | errors   |
      | WARNED                                            | 1    | warnings |
      | WARNED --strict                                   | 2    | errors   |
      | FAULTY                                            | 2    | errors   |
      | MALFORMED                                         | 2    | errors   |
      | NEWER --in-force CLEAN --strict                   | 0    | whole    |
      | CLEAN --in-force NEWER                            | 2    | errors   |
      | NEWER --in-force MALFORMED                        | 2    | usage    |
      | NEWER --in-force examples/production.ini          | 2    | usage    |
      | NEWER --in-force /nowhere                         | 2    | usage    |
      | examples/production.ini --in-force examples/production.ini | 0 | whole |

  Scenario: Findings are reported as data and as text
    When an operator runs "check FAULTY"
    Then the report of the check has a error about "route r1"
    When an operator runs "check MALFORMED"
    Then the report of the check has a error about "configuration"
    When an operator runs "check NEWER --in-force CLEAN"
    Then the report of the check has a note about "limits"
    And "check WARNED" prints "warning: route r1: the goal of 10.001 s is above"

  Scenario: A document is compared with the one in force
    When an operator runs "check CHANGED --in-force examples/production.ini" with "weight = 3" replaced by "weight = 9"
    Then the command ends with 0 and "whole"
    And the report of the check has a note about "client_account brunner-households"

  Scenario: A document with an account that may call nothing gives a warning
    When an operator runs "check CHANGED" with "services = job-history" replaced by "# no services"
    Then the command ends with 1 and "warnings"
    And the report of the check has a warning about "service job-history"
