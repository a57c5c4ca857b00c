Feature: A controller grants or refuses the room of a service

  # Guards against a cost of admission while there is enough room.
  Scenario: Every request is granted below the stated use
    Given a room controller at use 0.7 of 100 places
    When 300 requests of rank 2 ask for room within 10 seconds
    Then all of them are granted as "ample"

  # Guards against the refusal of long requests where they are the only ones.
  Scenario Outline: A lone long request is granted
    Given a room controller at use 0.2 of 6 places
    And it decides as one of <parts> instances
    When 10 requests of rank 2 and 10 s of work ask for room, one in 12 seconds
    Then all of them are granted as "ample"

    Examples:
      | parts |
      | 1     |
      | 88    |

  # Guards against requests that wait and are answered too late.
  Scenario: A request that cannot start before its deadline is refused
    Given a room controller at use 8 of 100 places
    And rooms were granted to requests of 1 second
    When a request with 2 seconds to its deadline asks for room
    Then it is refused as "expired" with a retry time of 0.667 s at most

  # Guards against a late answer that delays others, and against the loss of
  # one that delays nobody.
  Scenario Outline: A late request is refused only where others need the room
    Given a room controller at use 1.5 of 100 places
    And rooms were granted to requests of 1 second
    And <demand> places of demand at other instances
    When a request with 0.2 seconds to its goal asks for room
    Then its room decision is "<decision>"

    Examples:
      | demand | decision          |
      | 200    | refused as late   |
      | 1      | granted as share  |

  # Guards against an endpoint whose memory runs out while requests run.
  Scenario: Requests whose memory does not fit are refused
    Given a room controller at use 0.9 of 100 places
    And 95 percent of 100000 memory tokens are used
    When a request of 6000 memory tokens asks for room
    Then it is refused as "memory" with a retry time of 4 s at most

  # Guards against admission by places alone where speed is exhausted first.
  Scenario: Speed that is exhausted before the places is divided too
    Given a room controller at use 0.04 of 640 places
    And 10 endpoints of average speed
    When 630 requests with prompts of 0.19 s ask for room within 10 seconds
    Then 70 to 95 percent of the last 300 are granted

  # Guards against impatient callers that get ahead of patient ones.
  Scenario: A caller gains nothing by returning at once, and all by waiting
    Given a room controller at use 0.95 of 100 places
    And 200 places of demand at other instances
    When requests of rank 2 ask for room until one is refused as "share"
    Then it is refused as "impatient" 10 times when it returns at once
    And it is granted as "returned" after its retry time

  # Guards against memory that grows with the refused callers.
  Scenario: The table of refused callers is bounded
    Given a room controller at use 1 of 100 places
    And 900 places of demand at other instances
    When 9000 requests of rank 2 ask for room within 10 seconds
    Then the controller remembers at most 4096 refused callers

  # Guards against instances of two sides of a partition that each use the
  # whole room.
  Scenario: Each side of a partition keeps to its part of the room
    Given a room controller at use 0.5 of 100 places
    And 400 places of demand at other instances
    And the controller reaches half of the instances
    When 2000 requests of rank 2 ask for room within 10 seconds
    Then 5 to 20 percent of them are granted
