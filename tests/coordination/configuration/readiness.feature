Feature: Readiness

  Scenario Outline: An instance cut off from store and peers leaves
    Then after <store> s without the store and <peers> s without peers the instance is <result>

    Examples:
      | store | peers | result      |
      | 0     | 0     | Ready       |
      | 3600  | 1     | Ready       |
      | 1     | 3600  | Ready       |
      | 5     | 5     | Ready       |
      | 5.1   | 5.1   | CUT_OFF     |
      | never | never | CUT_OFF     |
      | never | 1     | Ready       |

  Scenario: An instance without a document takes no requests
    Then an instance without a document is not ready

  Scenario: Each failure domain has its few watchers
    Given 16 failure domains with 52 members each
    When 2 watchers are chosen for each failure domain
    Then each failure domain has 2 watchers of its own
    And the order of members does not change the watchers
    And the loss of a watcher does not change the other watcher
