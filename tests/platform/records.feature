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

  # Guards against a wrong time that drops the endpoint or limits it for hours.
  Scenario Outline: How long an endpoint remains cold is read from its entry
    Then an entry with coldLeftMs <value> says that it is cold for <seconds> seconds

    Examples:
      | value  | seconds |
      | absent | 0       |
      | null   | 0       |
      | 0      | 0       |
      | -500   | 0       |
      | 2400   | 2.4     |
      | 1e300  | 60      |
      | 1e400  | 60      |
      | a number of 400 digits | 60 |

  Scenario Outline: A time for which an endpoint is cold must be a number
    Then an entry whose coldLeftMs is <value> is refused

    Examples:
      | value  |
      | "2400" |
      | true   |
      | NaN    |

  # Guards against a limit of 0 requests where none is configured.
  Scenario Outline: The rate of a service's cold endpoints is read
    Then a service with coldS <duration> and coldPerS <rate> has the cold rate <found>

    Examples:
      | duration | rate   | found |
      | 3        | 15     | 15    |
      | 0        | 15     | 15    |
      | 3        | 0      | none  |
      | 3        | absent | none  |
      | 3        | -1     | none  |

  # An error of another type would end the loop that applies configurations.
  Scenario Outline: A malformed configuration is named without its content
    Given a configuration with the bytes <data>
    Then it cannot be read, naming <words>
    And the reason does not contain "secret"

    Examples:
      | data                                                  | words             |
      | {"version": 1e999, "routes": [], "services": []}      | OverflowError     |
      | [ repeated 100000 times                               | RecursionError    |
      | {"tenants": [{"apiKeys": ["secret \xff"]}]}           | UnicodeDecodeError |
      | {"version": 1, "services": [], "routes": [{"name": "a", "host": "h", "pathPrefix": "/", "routeKind": "streaming", "service": "s", "timeoutMs": 1e999}]} | timeoutMs |
      | {"version": 1, "services": [], "routes": [{"name": "a", "host": "h", "pathPrefix": "/", "routeKind": "streaming", "service": "s", "timeoutMs": NaN}]} | timeoutMs |
      | {"version": 1, "services": [], "routes": [{"name": "a", "host": "h", "pathPrefix": "/", "routeKind": "streaming", "service": "s", "timeoutMs": "1000"}]} | timeoutMs |
      | {"version": 1, "services": [], "routes": [{"name": "a", "host": "h", "pathPrefix": "/", "routeKind": "streaming", "service": "s", "timeoutMs": true}]} | timeoutMs |
      | {"version": 1, "services": [], "routes": [{"name": "a", "host": "h", "pathPrefix": "/", "routeKind": "streaming", "service": "s", "timeoutMs": 99999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999}]} | timeoutMs |
      | {"version": 1, "services": [{"name": "a"}, {}], "routes": []} | services[1]: KeyError |
      | {"version": 1, "services": [], "routes": [{"name": "a"}]} | routes[0]: KeyError |
      | {"version": 1, "services": [], "routes": [], "tenants": [{"apiKeys": ["secret"]}]} | tenants[0]: KeyError |
