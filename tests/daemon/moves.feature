@site @quick_moves
Feature: Version moves over real processes

  Background:
    Given two more instances in one failure domain
    And version v2 is loaded on every engine
    And callers chat with every instance

  Scenario: An operator starts a move and aborts it
    When a move to v2 within 600 seconds is started by command
    Then every instance gives v2 some requests
    When the move is aborted by command
    Then the move is rolled back on every instance
    And the stored move is rolled back for "aborted by brunner"

  Scenario: A failing version is taken back
    Given version v2 fails on every engine
    When a move to v2 is at share 0.05 with 60 seconds remaining
    Then the move is rolled back on every instance
    And no request went to v2 later than 2 seconds after the verdict
    And the stored move is rolled back for "failing"
    And no request has failed

  Scenario: A slow version is taken back
    Given version v2 is 20 times slower on every engine
    When a move to v2 is at share 0.05 with 60 seconds remaining
    Then the move is rolled back on every instance
    And no request went to v2 later than 2 seconds after the verdict
    And the stored move is rolled back for "slow"

  Scenario: A good version is done before its deadline
    When a move to v2 is at share 0.4 with 32 seconds remaining
    Then the move is done on every instance before its deadline
    And no request has failed

  @slow
  Scenario: A move goes on when the instance that drives it is killed
    When a move to v2 is at share 0.4 with 60 seconds remaining
    And the instance that drives the move is killed
    Then the move is done on every instance before its deadline

  @slow
  Scenario: A move ends at its deadline while the store is down
    When a move to v2 is at share 0.2 with 30 seconds remaining
    Then every instance gives v2 some requests
    When the platform's store becomes unavailable
    And the deadline of the move has passed
    Then the move is rolled back on every instance
    And no request went to v2 later than 2 seconds after the deadline
    When the platform's store becomes available again
    Then the stored move is rolled back for "not enough time"
