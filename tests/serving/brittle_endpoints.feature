Feature: Endpoints that fall over when they turn many requests away

  # Guards against the rejections of all instances together making a brittle
  # endpoint fall over, and then the next one.
  Scenario Outline: Brittle endpoints are not overrun
    Given <members> instances before 6 endpoints
    When <load> requests a second arrive for 5 seconds
    And the endpoints let 2 requests wait and fall over after <rejections> rejections
    And <load> requests a second arrive for 30 seconds
    Then at most 2 endpoints fall over

    Examples:
      | members | load | rejections |
      | 8       | 90   | 3          |
      | 8       | 150  | 3          |
      | 8       | 300  | 8          |
      | 200     | 150  | 8          |
      | 200     | 300  | 20         |
