Feature: Dispatcher

  Scenario: An account has its whole burst right after the first document
    Given a dispatcher on a manual clock
    When the example document becomes active
    Then client account brunner-desk is admitted for 1000 tokens at once

  Scenario Outline: A move decides while the document names its old version
    Given version shares of a service at <document>
    When a move from v1 to v2 has share <share>
    Then the shares of the service are <shares>

    Examples:
      | document | share | shares                 |
      | v1       | 0.25  | {"v1": 0.75, "v2": 0.25} |
      | v2       | 0.25  | {"v2": 1.0}            |
      | v1       | 1.0   | {"v1": 0.0, "v2": 1.0} |
