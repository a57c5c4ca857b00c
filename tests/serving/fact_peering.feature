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

  # The level guards an older build beside new ones: it rejects elements on
  # the wire that it does not know.

  Scenario: An instance alone has the level of its own build
    Given a fact peering whose settings name 0 other instances
    Then its collectors have level 1

  Scenario: The levels of named instances are not known before they are met
    Given a fact peering whose settings name 7 other instances
    Then its collectors have level 0

  Scenario: The lowest level of the reachable instances counts
    Given a fact peering whose settings name 0 other instances
    When 2 peers become members
    And the member peer-0 publishes level 1 as incarnation 1
    Then its collectors have level 0
    When the member peer-1 publishes level 2 as incarnation 1
    Then its collectors have level 1

  # Guards against a level that outlives a rollback: the notice of the newer
  # build is still held when the older one runs on the same instance.
  Scenario: A level counts only for the process that published it
    Given a fact peering whose settings name 0 other instances
    When 1 peers become members
    And the member peer-0 publishes level 1 as incarnation 1
    Then its collectors have level 1
    When the peering sees peer-0 with incarnation 2
    Then its collectors have level 0
    When the member peer-0 publishes level 1 as incarnation 2
    Then its collectors have level 1

  Scenario Outline: A member that may still be serving counts
    Given a fact peering whose settings name 0 other instances
    When 1 peers become members
    And the peering sees peer-0 as <status> and <reach>
    Then its collectors have level <level>

    Examples:
      | status  | reach       | level |
      | alive   | reachable   | 0     |
      | suspect | reachable   | 0     |
      | alive   | unreachable | 1     |
      | dead    | reachable   | 1     |
      | left    | reachable   | 1     |

  Scenario Outline: A malformed level counts as none
    Given a fact peering whose settings name 0 other instances
    When 1 peers become members
    And the member peer-0 publishes <text> in place of a level
    Then its collectors have level 0

    Examples:
      | text |
      | one  |
      | -3   |
      | 1.5  |

  Scenario: A level is published again before it expires
    Given a fact peering whose settings name 0 other instances
    When the fact peering announces its level
    Then the level that it has published is renewed after 3600 seconds

  # Guards against as many messages as there are instances, each of which has
  # completed a request that many callers send.
  Scenario: Completions that instances report within a second are one fact
    Given a fact peering whose settings name 7 other instances
    When completions of a request at 20.1, 20.4, 20.9 s are reported
    Then the instances that hold the first of these facts take no other
