Feature: Moves of services whose endpoints have a fixed version

  Scenario Outline: The share follows the slots of the new endpoints
    Given <old> plain endpoints with the old version and <new> with the new
    Then the new plain endpoints can take a share of <share>

    Examples:
      | old | new | share |
      | 4   | 0   | 0.0   |
      | 4   | 1   | 0.0   |
      | 4   | 2   | 0.5   |
      | 1   | 1   | 1.0   |
      | 2   | 3   | 1.0   |
      | 0   | 2   | 1.0   |

  Scenario Outline: No endpoint with a fixed version is given an order
    Given 3 plain endpoints with the old version and 2 with the new
    And the move of the plain service is <stage>
    Then no plain endpoint is given an order
    And the move needs no more orders

    Examples:
      | stage       |
      | shifting    |
      | done        |
      | rolled_back |

  Scenario: Engines beside them are still given orders
    Given 3 plain endpoints with the old version and 2 with the new
    And an engine of the same service with the old version
    And the move of the plain service is shifting
    Then only the engine is given an order
