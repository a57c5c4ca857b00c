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
