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
