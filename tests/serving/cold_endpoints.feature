Feature: Endpoints that take few requests while they are cold

  # Guards against instances that together send a cold endpoint more than it
  # bears, and against owners that grant a quarter of the rate to a new one:
  # an endpoint is warm before they grant the whole.
  Scenario Outline: All instances together keep to the rate of cold endpoints and use it
    Given <members> instances before <count> endpoints that take 15 requests a second while cold
    When <load> requests a second arrive for 2 seconds before endpoints are cold
    And 2 endpoints become cold for 3 seconds
    And <load> requests a second arrive for 3 seconds
    Then no cold endpoint gets more in any second than it may
    And at least 0.8 of the rate of cold endpoints is used

    Examples:
      | members | count | load |
      | 8       | 6     | 300  |
      | 200     | 6     | 300  |
      | 8       | 2     | 100  |
      | 200     | 2     | 100  |

  # Guards against two owners that both grant the whole rate, or too little
  # of it, while instances disagree about the owner.
  Scenario Outline: The rate of cold endpoints holds and is used while owners change
    Given <members> instances before 6 endpoints that take 15 requests a second while cold
    When 300 requests a second arrive for 2 seconds before endpoints are cold
    And 2 endpoints become cold for 8 seconds
    And 300 requests a second arrive for 2 seconds at the cold endpoints
    And the owner of a cold endpoint is <event>
    And 300 requests a second arrive for 6 seconds
    Then no cold endpoint gets more in any second than it may
    And at least 0.8 of the rate of cold endpoints is used

    Examples:
      | members | event                         |
      | 8       | killed                        |
      | 8       | frozen for 1.5 seconds        |
      | 8       | replaced by a joining instance |
      | 200     | killed                        |
      | 200     | frozen for 1.5 seconds        |
      | 200     | replaced by a joining instance |

  # Guards against instances that grant themselves permits of an endpoint
  # whose owner they do not reach.
  Scenario Outline: The rate of cold endpoints holds while instances are cut off
    Given <members> instances before 6 endpoints that take 15 requests a second while cold
    When 300 requests a second arrive for 2 seconds before endpoints are cold
    And 2 endpoints become cold for 8 seconds
    And <event>
    And 300 requests a second arrive for 8 seconds
    Then no cold endpoint gets more in any second than it may

    Examples:
      | members | event                             |
      | 8       | half of the instances are cut off |
      | 8       | no instance reaches another       |
      | 200     | half of the instances are cut off |

  # Guards against requests for a warm endpoint that reach the cold one at its
  # address, and against a domain that comes back and is met by the full load.
  Scenario Outline: A failure domain of endpoints that returns cold is not overrun
    Given <members> instances before 6 endpoints that take 15 requests a second while cold
    When 300 requests a second arrive for 2 seconds before endpoints are cold
    And 3 endpoints are replaced by ones that are cold for 3 seconds
    And 300 requests a second arrive for 4 seconds
    Then no cold endpoint gets more in any second than it may
    And all requests are served

    Examples:
      | members |
      | 8       |
      | 200     |

  # Guards against callers that wait for a permit until their deadline, and
  # against one account that takes what little a cold service can do.
  Scenario Outline: Callers of a service that is cold as a whole are refused at once
    Given 8 instances before 2 endpoints that take 15 requests a second while cold
    And the service of the cold endpoints is <kind>
    When 60 requests a second arrive for 2 seconds before endpoints are cold
    And 2 endpoints become cold for 8 seconds
    And 60 requests a second arrive for 8 seconds, nine in ten of account "a"
    Then no cold endpoint gets more in any second than it may
    And at least 0.8 of the rate of cold endpoints is used
    And the others are refused as not run, to return in 0.05 to 3 seconds
    And at least 0.6 of the requests of account "b" are served while it is cold

    Examples:
      | kind  |
      | model |
      | plain |

  # Guards against a limit that lifts another one of the same endpoint.
  Scenario: Of the rate that a cold endpoint names and its own the lower binds
    Given 8 instances before 6 endpoints that take 15 requests a second while cold
    And 2 of the cold endpoints name 2.4 requests a second
    When 300 requests a second arrive for 2 seconds before endpoints are cold
    And 2 endpoints become cold for 8 seconds
    And 300 requests a second arrive for 8 seconds
    Then no endpoint gets more in 4 seconds than its rate allows
    And no cold endpoint gets more in any second than it may

  # Guards against calls for permits where no limit is configured.
  Scenario: Cold endpoints without a limit are used as before
    Given 8 instances before 6 endpoints that take 0 requests a second while cold
    When 2 endpoints become cold for 3 seconds
    And 300 requests a second arrive for 3 seconds
    Then no permit was asked for
    And all requests are served
