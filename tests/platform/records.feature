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

  Scenario Outline: The allowed regions of a route and a tenant are read
    Given a configuration whose route and tenant have the regions <value>
    Then both are restricted to <regions>

    Examples:
      | value        | regions |
      | absent       | any     |
      | []           | any     |
      | ["r1", "r2"] | r1,r2   |

  # Guards against a restriction that is misread, "r1" as the letters r and 1.
  Scenario: Allowed regions that are no list make a configuration malformed
    Given a configuration whose route and tenant have the regions "r1"
    Then it cannot be read, naming allowedRegions

  Scenario Outline: An evacuation of the operator is read
    Given an evacuation whose value is <value>
    Then it is read as <result>

    Examples:
      | value          | result    |
      | {}             | active    |
      | {"by": "me"}   | active    |
      | []             | malformed |
      | {              | malformed |
