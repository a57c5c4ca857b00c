Feature: Operators' orders to move a service to another version

  Background:
    Given an instance that moves versions, with e1 of v1 and e2 not listed

  # Guards against a bad version that gets half of its service's requests,
  # because nothing reads the operators' orders.
  Scenario: A version under an order gets no more than its share
    When v2 is ordered for 12 s and e2 is listed with it
    And 80 requests of the moved service are sent
    Then all of them are answered
    And e2 has run at most 8 of them, and none before the move was recorded

  # The watch of the orders may lag the one of the endpoints.
  Scenario: A version seen before its order gets no more than its share
    When e2 is listed with v2, which is ordered for 12 s 0.4 s later
    And 80 requests of the moved service are sent
    Then all of them are answered
    And e2 has run at most 8 of them, and none before the move was recorded

  # Guards against a good version whose move isn't completed in time.
  Scenario: The move to a good version is completed
    When v2 is ordered for 12 s and e2 is listed with it
    Then the state of the move is in_progress within 1 s
    And under 60 requests a second it is completed within 12 s
    And e2 answers all requests from then on

  # Guards against a bad version that is not taken back, and against a server
  # error that is passed on and counts as a success of its version.
  Scenario Outline: The move to a version that fails is rolled back
    Given e2 fails every request
    When v2 is ordered for 12 s and e2 is listed with it
    Then under 60 requests <what> a second it is rolled_back within 12 s
    And e2 has failed at most 50 requests, and gets no more

    Examples:
      | what       |
      | POST /once |
      | GET /safe  |

  # Guards against an entry of another writer that ends the instance's moves.
  Scenario Outline: A malformed order gives its target nothing
    When an order with <field> <value> is written and e2 is listed with v2
    And 40 requests of the moved service are sent
    Then all of them are answered
    And e2 has run none of them
    And the order has no state

    Examples:
      | field     | value  |
      | durationS | "soon" |
      | durationS | 1e400  |
      | service   | "t"    |

  Scenario: A deleted order takes its version back
    When v2 is ordered for 12 s and e2 is listed with it
    Then the state of the move is in_progress within 1 s
    When the order is deleted and 40 requests of the moved service are sent
    Then all of them are answered
    And e2 has run none of them

  # Guards against a second order that is taken for the first one.
  Scenario: A second order after a roll-back is carried out
    Given e2 fails every request
    When v2 is ordered for 8 s and e2 is listed with it
    Then under 60 requests a second it is rolled_back within 8 s
    When e2 fails no more and v2 is ordered for 12 s
    Then under 60 requests a second it is completed within 12 s

  # Guards against a move that never begins because the first write of its
  # record was lost without an answer.
  Scenario: A move whose first write is lost is carried out
    Given the first write of a move's state is lost
    When v2 is ordered for 12 s and e2 is listed with it
    Then the state of the move is in_progress within 4 s

  # Guards against the record of an earlier order that is read and driven on
  # under the revision of the order that replaced it.
  Scenario: The record of a replaced order is not read as the present one's
    When v2 is ordered for 12 s and e2 is listed with it
    Then the state of the move is in_progress within 1 s
    And its record is read only until another order replaces it
