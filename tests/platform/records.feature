Feature: Objects of the operator and of endpoints

  Scenario: An endpoint's entry is read
    Then the entry of a ready endpoint can be used

  Scenario Outline: An entry that another writer spoilt names no endpoint
    Then an entry whose <field> is <value> is refused

    Examples:
      | field   | value     |
      | state   | "gone"    |
      | state   | absent    |
      | born    | absent    |
      | born    | "x"       |
      | born    | 1.5       |
      | born    | true      |
      | service | 7         |
      | slots   | absent    |
      | slots   | "6"       |
      | address | "nowhere" |
      | zone    | null      |

  Scenario: A configuration is read
    Then the configuration gives routes, accounts, services and limits

  Scenario: A configuration that cannot be read leaves the former in force
    Given a document actor that reads configurations
    When it is offered a configuration, a broken one and an older one
    Then only the first one is in force
