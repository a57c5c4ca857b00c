Feature: Commands on instances and the catalogues

  Background:
    Given a store that holds the example as production and trial

  Scenario: The status tells which instance has which version
    Given an instance "i-1" with active version 7
    And an instance "i-2" with active version 7
    When an operator runs "status"
    Then the command ends with 0 and "everywhere"
    Given an instance "i-3" with active version 6
    When an operator runs "status"
    Then the command ends with 1 and "partly"
    And the report lists "i-3" with version 6

  Scenario: Instances of another environment are left out
    Given an instance "i-1" with active version 7
    And an instance "i-2" of "trial" with active version 8
    When an operator runs "status"
    Then the command ends with 0 and "everywhere"

  Scenario: A silent instance is named with its error
    Given an instance "i-1" with active version 7
    And an instance "i-2" that does not answer
    And an instance "i-4" that sends malformed answers
    When an operator runs "status"
    Then the command ends with 1 and "partly"
    And the report has an error for "i-2" and "i-4" only
    When an operator runs "histograms"
    Then the command ends with 1 and "partly"

  Scenario: Histograms of all instances are merged
    Given instances "i-1" and "i-2" that each recorded 50 latencies
    When an operator runs "histograms"
    Then the command ends with 0 and "whole"
    And the report has one histogram of 100 requests

  Scenario: Events and settings are listed
    When an operator runs "events"
    Then the command ends with 0 and "listed"
    And the list "events" has "number" 6000
    When an operator runs "settings"
    Then the command ends with 0 and "listed"
    And the list "settings" has "key" "statsd_address"

  Scenario: A hash made for a key fits it
    When an operator runs "hash-key KEYFILE"
    Then the command ends with 0 and "made"
    And the hash verifies the key

  Scenario: Each command has help with an example and rejects wrong usage
    Then each command has help with an example
    And the version is printed
    And an unknown command and a missing store end with 2
