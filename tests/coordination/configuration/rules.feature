Feature: Rules for the content of a configuration

  Background:
    Given a clean platform configuration

  Scenario: A clean configuration gives no finding
    Then the rules find nothing

  # Each row guards against a fault that would be noticed only after sending.
  Scenario Outline: A fault is found with its entry and severity
    When the configuration sets <path> to <value>
    Then the rules find only a <severity> about "<entry>" with "<words>"

    Examples: What refuses requests
      | path                 | value                             | severity | entry      | words                 |
      | routes.0.service     | "s9"                              | error    | route r1   | 's9' is not defined   |
      | routes.0.timeoutMs   | 0                                 | error    | route r1   | timeout is 0.0 s      |
      | routes.0.split       | [{"service": "s1", "weight": -1}] | error    | route r1   | negative              |
      | routes.0.split       | [{"service": "s1", "weight": 0}]  | error    | route r1   | every weight is 0     |
      | routes.0.name        | ["r1"]                            | error    | route      | not a text            |
      | tenants.0.apiKeys    | [1]                               | error    | account a1 | not a text            |
      | tenants              | []                                | error    | accounts   | the list is empty     |
      | services.0.scaling   | {"min": 3, "max": 2}              | error    | service s1 | minimum of 3          |
      | limits               | {"maxHeaderBytes": 0}             | error    | limits     | request header is 0   |
      | limits               | {"maxBodyBytes": 0}               | error    | limits     | request body is 0     |
      | limits               | {"idleTimeoutMs": 0}              | error    | limits     | idle connection is 0  |
      | routes.0.allowedRegions  | ["north"]                     | error    | route r1   | no request            |
      | tenants.0.allowedRegions | ["north"]                     | error    | account a1 | no request            |

    Examples: What can never match
      | path                 | value                             | severity | entry      | words                 |
      | routes.1.pathPrefix  | "/a/"                             | warning  | route r1   | route r2 has the same |
      | routes.0.pathPrefix  | "/a"                              | warning  | route r1   | match no request      |
      | routes.0.host        | "h.example:80"                    | warning  | route r1   | match no request      |
      | routes.1.name        | "r1"                              | warning  | route r1   | 2 entries             |
      | tenants.1.name       | "a1"                              | warning  | account a1 | 2 entries             |
      | routes.0.split       | [{"service": "s1", "weight": 1}, {"service": "s2", "weight": 0}] | warning | route r1 | 's2' has weight 0 |
      | routes.0.service     | "s2"                              | warning  | service s1 | no route              |
      | tenants.0.apiKeys    | []                                | warning  | account a1 | has no key            |
      | tenants.1.apiKeys    | ["k1"]                            | warning  | account a2 | also stand at a1      |
      | routes.0.allowedRegions  | ["east", "north"]             | warning  | route r1   | no failure domain lies in north |

    Examples: Limits that contradict each other
      | path                 | value                             | severity | entry      | words                 |
      | routes.0.goalMs      | 10001                             | warning  | route r1   | the goal of 10.001 s  |
      | routes.0.gapGoalMs   | 10001                             | warning  | route r1   | the pause goal        |
      | tenants.0.burst      | 199                               | warning  | account a1 | below the 200.0       |
      | tenants.1.burst      | 0.5                               | warning  | account a2 | below the 1.0         |
      | tenants.0.ratePerS   | 0                                 | warning  | account a1 | limits nothing        |
      | services.0.coldS     | 0                                 | warning  | service s1 | without their duration |

  # A shadowed route must not count as the one that reaches its service.
  Scenario: A service behind a shadowed route is not reached
    When the configuration sets routes.0.pathPrefix to "/b/"
    Then the rules find a warning about "service s1" with "no route"
    And the rules find a warning about "route r1" with "route r2 has the same"

  # Without a list of regions nothing is known about them.
  Scenario: Allowed regions are not checked without a list of regions
    When the configuration sets routes.0.allowedRegions to ["north"]
    Then the rules without regions find nothing

  # Keys are secrets, and reports of the check are kept in logs of builds.
  Scenario: No finding contains a key
    When the configuration sets tenants.1.apiKeys to ["k1", "k-new"]
    Then no finding or difference contains a key

  Scenario: Differences come in the order in which they take effect
    When the configuration sets version to 8
    And the configuration sets services.0.maxConns to 9
    And the configuration sets routes.0.priority to 3
    And the configuration sets routes.1.name to "r3"
    And the configuration sets limits to {"maxBodyBytes": 100}
    And the configuration sets tenants.0.burst to 900
    And the configuration sets tenants.1.apiKeys to ["k3"]
    Then the differences are
      | entry      | words                           |
      | account a2 | keys: 1 added, 1 removed        |
      | quota a1   | burst 400.0 -> 900.0            |
      | limits     | body_bytes 4194304 -> 100       |
      | route r1   | priority 0 -> 3                 |
      | route r2   | removed                         |
      | route r3   | added                           |
      | service s1 | max_connections 100 -> 9        |

  # An account list that goes away opens every route.
  Scenario: A change of the need for keys is a difference
    When the configuration sets version to 8
    And the configuration sets tenants to null
    Then the differences are
      | entry      | words                           |
      | accounts   | keys are no longer required     |
      | account a1 | removed                         |
      | account a2 | removed                         |

  # Instances would ignore the new version without a word to the operator.
  Scenario: A changed configuration needs a higher version
    When the configuration sets limits to {"maxBodyBytes": 100}
    Then the differences are
      | entry      | words                           |
      | version    | 7 is not above 7                |
      | limits     | body_bytes 4194304 -> 100       |

  Scenario: The same configuration has no difference
    Then there are no differences

  Scenario Outline: A document has entries without an effect
    Given the example document with "<old>" replaced by "<new>"
    Then the rules of documents find a warning about "<entry>" with "<words>"

    Examples:
      | old                                 | new             | entry                         | words               |
      | services = job-history              | # no services   | service job-history           | no client account   |
      | services = job-history              | # no services   | client_account brunner-history | may call no service |
