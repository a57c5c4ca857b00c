Feature: How many instances share what is limited

  # Regression: after all instances were killed, each counted itself alone
  # for a second and gave out the whole quota of every client account.

  Scenario: A process that has met nobody counts those that are named
    Given a fact link whose settings name 7 other instances
    When it looks for its peers
    Then it shares limits among 8 instances

  Scenario: Those it meets count from then on
    Given a fact link whose settings name 7 other instances
    When 2 peers are met
    And it looks for its peers
    Then it shares limits among 3 instances

  Scenario: A process that meets nobody for long is the only one
    Given a fact link whose settings name 7 other instances
    When 16 seconds pass at the fact link
    And it looks for its peers
    Then it shares limits among 1 instances

  Scenario: Members that the store names are counted at once
    Given a fact link whose settings name 7 other instances
    And a store where 3 peers are registered
    When the instance registers itself
    Then it shares limits among 4 instances
