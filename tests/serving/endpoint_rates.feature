Feature: Endpoints that name the rate of requests they take

  # Guards against the instances together sending far more than the rate that
  # an endpoint names: nothing read it.
  Scenario Outline: All instances together keep to the rate that an endpoint names
    Given <members> instances before 6 endpoints, of which 2 name <rate> requests a second
    When <load> requests a second arrive for 40 seconds
    Then no endpoint gets more in 4 seconds than its rate allows
    And all requests are served

    Examples:
      | members | rate | load |
      | 8       | 0    | 60   |
      | 8       | 0.3  | 60   |
      | 8       | 1.2  | 60   |
      | 8       | 2.4  | 60   |
      | 8       | 12   | 90   |
      | 200     | 0.3  | 100  |
      | 200     | 2.4  | 100  |
      | 200     | 12   | 100  |

  Scenario Outline: The rate that an endpoint names is used while there is work
    Given <members> instances before 6 endpoints, of which 2 name <rate> requests a second
    When <load> requests a second arrive for 40 seconds
    Then at least 0.8 of the named rates is used

    Examples:
      | members | rate | load |
      | 8       | 1.2  | 60   |
      | 8       | 2.4  | 60   |
      | 8       | 12   | 120  |
      | 200     | 0.3  | 100  |
      | 200     | 2.4  | 100  |
      | 200     | 12   | 120  |

  # Guards against two owners that both grant the whole rate, or none at all,
  # while instances disagree about who the members are.
  Scenario Outline: The rate holds while the members change
    Given <members> instances before 6 endpoints, of which 2 name <rate> requests a second
    When <load> requests a second arrive for 15 seconds
    And <event>
    And <load> requests a second arrive for 15 seconds
    Then no endpoint gets more in 4 seconds than its rate allows
    And all requests are served

    Examples:
      | members | rate | load | event                                     |
      | 8       | 2.4  | 60   | the owner of a limited endpoint is killed |
      | 8       | 12   | 120  | the owner of a limited endpoint is killed |
      | 200     | 2.4  | 100  | the owner of a limited endpoint is killed |
      | 8       | 2.4  | 60   | the owner of a limited endpoint is cut off |
      | 8       | 12   | 120  | the owner of a limited endpoint is cut off |
      | 8       | 2.4  | 60   | half of the instances are cut off         |
      | 8       | 12   | 120  | half of the instances are cut off         |
      | 200     | 12   | 120  | half of the instances are cut off         |
      | 8       | 2.4  | 60   | no instance reaches another               |
      | 8       | 2.4  | 60   | the members double in a second            |
      | 8       | 12   | 120  | the members double in a second            |
      | 100     | 12   | 120  | the members double in a second            |

  Scenario: A cut that heals leaves one owner
    Given 8 instances before 6 endpoints, of which 2 name 2.4 requests a second
    When 60 requests a second arrive for 10 seconds
    And half of the instances are cut off
    And 60 requests a second arrive for 10 seconds
    And the cut heals
    And 60 requests a second arrive for 10 seconds
    Then no endpoint gets more in 4 seconds than its rate allows

  Scenario: A rate that falls binds within half a second
    Given 8 instances before 6 endpoints, of which 2 name 12 requests a second
    When 120 requests a second arrive for 10 seconds
    And the named rates are halved
    And 120 requests a second arrive for 0.5 seconds
    And the count of requests begins anew
    And 120 requests a second arrive for 15 seconds
    Then no endpoint gets more in 4 seconds than its rate allows

  # Guards against a limit that outlasts its end: an endpoint that gets few
  # requests seldom has the chance to tell it.
  Scenario Outline: An endpoint that names no rate any more has its share again
    Given <members> instances before 6 endpoints, of which 2 name <rate> requests a second
    When <load> requests a second arrive for 10 seconds
    And the endpoints name no rate any more
    And <load> requests a second arrive for 10 seconds
    And the count of requests begins anew
    And <load> requests a second arrive for 10 seconds
    Then each endpoint gets at least half of its equal share

    Examples:
      | members | rate | load |
      | 8       | 0    | 60   |
      | 8       | 2.4  | 60   |
      | 200     | 2.4  | 100  |

  Scenario: When all endpoints name a rate, the caller is told at once when to return
    Given 8 instances before 3 endpoints, of which 3 name 2 requests a second
    When 40 requests a second arrive for 20 seconds
    Then no endpoint gets more in 4 seconds than its rate allows
    And at least 0.8 of the named rates is used
    And the others are refused as not run, to return in 0.1 to 3 seconds

  # Guards against one client account that takes the room of the others.
  Scenario: What little room is left is shared by client account
    Given 8 instances before 3 endpoints, of which 3 name 2 requests a second
    When 40 requests a second arrive for 30 seconds, nine in ten of account "a"
    Then account "b" gets at least 0.6 of its equal share
