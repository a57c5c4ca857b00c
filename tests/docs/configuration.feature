Feature: Page on configuration

  Scenario: The commands of the page run as they stand
    Given the console blocks of docs/configuration.md
    Then each command on the page ends and prints as the page says
