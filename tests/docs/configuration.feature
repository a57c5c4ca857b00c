Feature: Page on configuration

  Scenario: The commands of the page run as they stand
    Given the console blocks of docs/configuration.md
    Then each command has the exit code and the output that the page shows
