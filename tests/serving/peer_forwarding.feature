Feature: Instances that reach no endpoint have their peers forward

  # Guards against the callers of an instance that is cut off from all endpoints
  # being refused, although the other instances reach the endpoints.
  Scenario Outline: Callers at instances that are cut off are served like the others
    Given <members> instances before 6 endpoints
    When <load> requests a second arrive for 5 seconds
    And <cut> instances lose all endpoints, whose connections are <kind>
    And <load> requests a second arrive for 3 seconds
    And the count of answers begins anew
    And <load> requests a second arrive for 10 seconds
    Then the instances that are cut off serve at least 0.98 of their requests
    And the others serve all of theirs

    Examples:
      | members | cut | load | kind    |
      | 8       | 1   | 40   | refused |
      | 8       | 4   | 40   | refused |
      | 8       | 7   | 40   | refused |
      | 8       | 1   | 40   | silent  |
      | 8       | 4   | 20   | silent  |
      | 200     | 100 | 100  | refused |
