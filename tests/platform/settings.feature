Feature: The platform's settings file

  Scenario: Every field that is used is read
    Given the platform's settings of one instance
    Then the settings name the instance, its addresses and its bounds

  Scenario: Unknown fields are ignored and optional ones may be missing
    Given the platform's settings of one instance
    When the fields cloudApi, seeds are removed and an unknown one is added
    Then the settings have no duties

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
      | bounds        | {"graceS": "x"} | x       |
