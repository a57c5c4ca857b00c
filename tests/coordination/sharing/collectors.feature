Feature: Instances that act for their failure domain

  Scenario Outline: A large fleet has two acting instances a failure domain
    Given <count> instances spread over <domains> failure domains
    Then <acting> instances act in total
    And every instance names the same ones

    Examples:
      | count | domains | acting |
      | 8     | 4       | 8      |
      | 15    | 3       | 15     |
      | 16    | 4       | 8      |
      | 76    | 3       | 6      |
      | 195   | 6       | 12     |
      | 830   | 16      | 32     |

  Scenario: A domain of one instance has one acting instance
    Given 17 instances of which 1 is alone in its failure domain
    Then 3 instances act in total

  Scenario: Another instance acts when one is gone
    Given 195 instances spread over 6 failure domains
    When the acting instances of one domain are gone
    Then 12 instances act in total
    And none of those that are gone acts

  Scenario Outline: Both sides of a partition together divide a limit once
    Given 195 instances spread over 6 failure domains
    When <cut> of them are cut off from the others
    Then the acting instances of both sides have one limit in total

    Examples:
      | cut |
      | 20  |
      | 68  |
      | 97  |
