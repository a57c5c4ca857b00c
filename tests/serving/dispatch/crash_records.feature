Feature: Requests that are to blame for crashes, over all instances

  # A request that crashes endpoints has to be refused before it has reached
  # more than three of them after the third, whichever instances it comes to.
  # Guards against instances that each count a part of the crashes for
  # themselves (review/1).
  Scenario Outline: A request that crashes each endpoint is refused in time
    Given <count> instances before 9 endpoints that each have <others> long answers
    When a request comes every 6 s at the next instance and crashes its endpoint <when>
    Then it has crashed at most 6 endpoints
    And at most 1 in 100 of the other requests at a crash is refused

    Examples:
      | count | others | when                         |
      | 1     | 0      | before its answer begins     |
      | 1     | 16     | before its answer begins     |
      | 1     | 16     | in the middle of its answer  |
      | 8     | 0      | before its answer begins     |
      | 8     | 0      | in the middle of its answer  |
      | 8     | 16     | before its answer begins     |
      | 8     | 16     | in the middle of its answer  |
      | 76    | 16     | in the middle of its answer  |
      | 195   | 0      | in the middle of its answer  |
      | 195   | 16     | in the middle of its answer  |

  Scenario Outline: It is refused in time also where endpoints tell no load
    Given <count> instances before 9 endpoints that each have 16 long answers
    And the endpoints tell no load
    When a request comes every 6 s at the next instance and crashes its endpoint <when>
    Then it has crashed at most 6 endpoints

    Examples:
      | count | when                         |
      | 1     | in the middle of its answer  |
      | 8     | in the middle of its answer  |
      | 195   | in the middle of its answer  |

  # Guards against equal requests of many callers being refused because they
  # are at every endpoint that crashes by itself (review/2).
  Scenario Outline: Equal requests are served although endpoints crash
    Given <count> instances before 9 endpoints that each have 0 long answers
    When 80 equal look-ups a second come and <failing> endpoints at a time crash 5 times
    Then at least 99 in 100 look-ups are accepted

    Examples:
      | count | failing |
      | 1     | 2       |
      | 8     | 1       |
      | 8     | 2       |
      | 8     | 8       |
      | 76    | 2       |
      | 195   | 2       |
