Feature: The platform's settings file

  Scenario: Every field that is used is read
    Given the platform's settings of one instance
    Then the settings name the instance, its addresses and its bounds

  Scenario: Unknown fields are ignored and optional ones may be missing
    Given the platform's settings of one instance
    When the fields cloudApi, seeds are removed and an unknown one is added
    Then the settings have no duties

  # Guards against evacuations that are followed where they are not in use.
  Scenario Outline: The rules on where requests go are read
    Given the platform's settings of one instance
    When the field contracts becomes <contracts>
    And the field zones becomes {"z1": "r1", "z2": "r2"}
    And the field bounds becomes {"evacuateMs": 4000}
    Then the settings have placement rules: <is_used>, two regions and 4 s

    Examples:
      | contracts             | is_used |
      | ["x", "places"]       | yes     |
      | ["placesX"]           | no      |
      | absent                | no      |

  # Guards against fixed times where the platform names a bound.
  Scenario: The time in which a configuration is in force is read
    Given the platform's settings of one instance
    When the field bounds becomes {"configApplyMs": 4000}
    Then configurations have to be in force within 4 seconds

  # Guards against fixed times where the platform names a bound.
  Scenario: The times in which the end of an endpoint takes effect are read
    Given the platform's settings of one instance
    When the field bounds becomes {"drainMs": 3000, "contactMs": 4000}
    Then endpoints have to be left within 3 seconds, or 4 after a disturbance

  Scenario Outline: A missing or wrong field is named
    Given the platform's settings of one instance
    When the field <field> becomes <value>
    Then the settings are refused, naming <named>

    Examples:
      | field         | value     | named         |
      | nodeName      | absent    | nodeName      |
      | platform      | absent    | platform      |
      | internalPorts | [1]       | unpack        |
      | limits        | {}        | maxFds        |
      | zones         | [1]       | items         |
      | contracts     | "places"  | contracts     |
      | bounds        | {"graceS": "x"} | x       |
      | bounds        | {"graceS": NaN} | graceS  |
      | bounds        | {"leaseMs": 1e999} | leaseMs |
      | bounds        | {"retryRatio": -1} | retryRatio |
      | bounds        | {"coldSlack": true} | coldSlack |
      | internalPorts | [0, 99999] | internalPorts |
      | limits        | {"maxFds": 1e999} | maxFds |

  # Guards against a file that ends the process which polls it.
  Scenario Outline: A settings file that becomes unreadable changes nothing
    Given a process that polls its settings file
    When the settings file becomes <content>
    Then the process goes on with its settings and logs once that it does
    When the settings file is sound again
    Then the process applies it

    Examples:
      | content                  |
      | bytes that are not UTF-8 |
      | 200000 brackets          |
      | half of itself           |
      | a number of 5000 digits  |
      | a folder                 |

  Scenario Outline: The tolerances of cold endpoints are read
    Given the platform's settings of one instance
    When the field bounds becomes <bounds>
    Then a cold endpoint with 15 requests a second may get <most> in any second

    Examples:
      | bounds                               | most |
      | {"coldOverrun": 1.5, "coldSlack": 5} | 27.5 |
      | {}                                   | 15   |
