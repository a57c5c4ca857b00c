Feature: Number of instances that share the limits

  # Regression: after all instances were killed, each restarted one counted
  # only itself for a second and granted every account's whole quota.

  Scenario: A process that has met nobody counts those that are named
    Given a fact peering whose settings name 7 other instances
    When it reads the membership
    Then it shares limits among 8 instances

  Scenario: Those it meets count from then on
    Given a fact peering whose settings name 7 other instances
    When 2 peers become members
    And it reads the membership
    Then it shares limits among 3 instances

  Scenario: A process that meets nobody for long is the only one
    Given a fact peering whose settings name 7 other instances
    When 16 seconds pass at the fact peering
    And it reads the membership
    Then it shares limits among 1 instances

  Scenario: Members that the store names are counted at once
    Given a fact peering whose settings name 7 other instances
    And a store where 3 peers are registered
    When the instance registers itself
    Then it shares limits among 4 instances

  # Regression: of 195 instances that started together the first ones knew a
  # tenth of the others, and the rest spread by gossip for half a minute.

  Scenario: Members that register later are found by a second read
    Given a fact peering whose settings name 7 other instances
    And a store where 3 peers are registered
    When the instance registers itself
    And 5 more peers register
    And the registry is called again
    Then it shares limits among 9 instances
    And the registry reads the store no more
