Feature: Decoding the operator's and the endpoints' objects

  Scenario: An endpoint's entry is read
    Then the entry of a ready endpoint is decoded

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
    Then the decoded configuration has routes, accounts, services and limits

  Scenario: A configuration that cannot be read leaves the former in force
    Given a document actor that decodes configurations
    When the actor receives a configuration, a malformed one and an older one
    Then only the first configuration is active
