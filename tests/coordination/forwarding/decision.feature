Feature: Failover after a failed attempt

  Scenario Outline: What may have run is never sent again unless repeatable
    Given a <kind> request for at most <endpoints> endpoints
    When an attempt ends with <fault>
    Then the request <outcome>

    Examples:
      | kind             | endpoints | fault    | outcome                         |
      | NON_IDEMPOTENT   | 2         | Broken   | is given up as outcome unknown  |
      | NON_IDEMPOTENT   | 2         | Silent   | is given up as outcome unknown  |
      | STREAM           | 2         | Broken   | is given up as outcome unknown  |
      | NON_IDEMPOTENT   | 1         | Refused  | goes on and draws on the budget |
      | NON_IDEMPOTENT   | 1         | NotSent  | goes on for free                |
      | IDEMPOTENT       | 2         | Broken   | goes on and draws on the budget |
      | IDEMPOTENT       | 1         | Broken   | is given up as outcome unknown  |
      | RESUMABLE_STREAM | 2         | Silent   | goes on and draws on the budget |

  Scenario: After a few refusals the request comes back later
    Given a NON_IDEMPOTENT request for at most 1 endpoints
    When 4 attempts end with Refused
    Then the request is given up as not run, with a retry time within its goal

  Scenario: A request whose time is up gets its final answer
    Given a IDEMPOTENT request for at most 3 endpoints
    When an attempt ends with Refused after its deadline
    Then the request is given up as not run

  Scenario Outline: How long an attempt is waited for
    Given a <kind> request for at most <endpoints> endpoints
    Then its head timeout is <head> s and its event timeout <event> s

    Examples:
      | kind             | endpoints | head | event |
      | NON_IDEMPOTENT   | 1         | 10   | 10    |
      | STREAM           | 1         | 10   | 10    |
      | IDEMPOTENT       | 2         | 1.5  | 1.2   |
      | RESUMABLE_STREAM | 2         | 1.5  | 1.2   |
      | RESUMABLE_STREAM | 1         | 10   | 10    |

  # Guards against three connections that are not opened using up a request's
  # time, so that neither another endpoint nor a peer can answer it.
  Scenario Outline: Connections that cannot be opened leave time for another
    Given a <kind> request for at most 1 endpoints
    When <count> connections in a row are not opened within <allowed> s
    Then at least <left> s of its time are left

    Examples:
      | kind           | count | allowed | left |
      | IDEMPOTENT     | 3     | 0.9     | 0.37 |
      | NON_IDEMPOTENT | 3     | 1.6     | 0.65 |
      | IDEMPOTENT     | 4     | 0.9     | 0.25 |
      | STREAM         | 4     | 10      | 8.8  |

  Scenario: A connection gets the time of a handshake between regions
    Given a IDEMPOTENT request for at most 1 endpoints
    When 1 connections in a row are not opened within 0.2 s
    Then at most 0.1 s of its time are left

  # Guards against a stream that is cut by an error after half an hour, because
  # its endpoint has been silent for more rounds than a float can double.
  Scenario Outline: Others are asked at the longest interval after many rounds
    Given a RESUMABLE_STREAM request for at most 2 endpoints
    When others have been asked in vain in <rounds> rounds
    Then the timeouts are <factor> times the first

    Examples:
      | rounds | factor |
      | 0      | 1      |
      | 1      | 2      |
      | 3      | 8      |
      | 4      | 8      |
      | 1024   | 8      |
