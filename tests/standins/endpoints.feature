Feature: Engine and plain stand-ins

  Scenario: A whole answer, then one that resumes
    Given an engine stand-in
    Then the engine's answer to "a b c" has the 6 expected tokens
    And the engine's answer resumed after 4 tokens starts at 4

  Scenario: A prefix of a block is cached
    Given an engine stand-in
    When the engine has answered a prompt of 40 words
    Then the engine reports 32 cached prompt tokens for it

  Scenario: An old fencing number is refused unless ignored
    Given an engine stand-in
    When the engine is ordered to load "2" with fencing token 5
    Then an order with fencing token 4 is answered 409
    When the fault "ignore_fence" is set at the endpoint
    Then an order with fencing token 4 is answered 200

  Scenario Outline: A faulty stream lacks its end or its id
    Given an engine stand-in
    When the fault "<fault>" is set at the endpoint
    Then the engine's answer is "<seen>"

    Examples:
      | fault       | seen             |
      | truncate    | without end mark |
      | drop_answer | cut              |
      | cross       | of another id    |
      | refuse      | refused          |
      | fail        | failed           |

  Scenario: An open connection goes silent while a new one works
    Given an engine stand-in
    And a connection to the engine that was used for a request
    When the fault "silent" is set at the endpoint
    Then a request on that connection times out
    And the engine's answer is "whole"

  Scenario: A look-up of a booking that has not run seals it
    Given a plain stand-in
    Then a query for booking "r1" is answered 404 with the ledger's start
    And booking "r1" is answered 409
    And booking "r2" is answered 201
    And a query for booking "r2" is answered 200
    And the ledger holds the booking "r2" once

  Scenario: A crash right after the effect leaves the ledger's file
    Given a plain stand-in
    When a crash after the next booking is set at the endpoint
    Then booking "r3" gets no answer
    And the ledger's file holds the booking "r3"
