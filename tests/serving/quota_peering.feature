Feature: Quota credit is lent to the instance that lacks it

  Scenario: A peer gives up what is wanted and has that much less
    Given 3 instances with 1000 tokens of credit each
    When the first instance asks for 1500 tokens
    Then it borrowed 1500 tokens from 2 peers
    And the second instance has 0 tokens left and the third 500

  Scenario: A peer in debt says so
    Given 3 instances with 1000 tokens of credit each
    And the second instance owes 700 tokens
    When the first instance asks for 1500 tokens
    Then it borrowed 1000 tokens from 2 peers
    And it learned of a debt of 700 tokens

  Scenario: A lost answer loses credit and never doubles it
    Given 3 instances with 1000 tokens of credit each
    And the answers of the second instance are lost
    When the first instance asks for 1500 tokens
    Then it borrowed 1000 tokens from 2 peers
    And the second instance has 0 tokens left and the third 0

  Scenario: A silent peer holds a request up for a tenth of a second at most
    Given 3 instances with 1000 tokens of credit each
    And the second instance does not answer
    When the first instance asks for 1500 tokens
    Then it borrowed 0 tokens from 1 peers
    And a tenth of a second has passed

  Scenario: Each question begins with another peer
    Given 3 instances with 1000 tokens of credit each
    When the first instance asks for 100 tokens
    And the first instance asks for 100 tokens
    Then the second instance has 900 tokens left and the third 900

  Scenario: A holder charges the request of an instance
    Given 3 instances with 1000 tokens of credit each
    And the second and third instance hold the credit of the first
    When the first instance charges 400 tokens
    Then the charge is accepted
    And the second instance has 600 tokens left and the third 1000

  Scenario: The refusal of a holder reaches the caller with a retry time
    Given 3 instances with 1000 tokens of credit each
    And the second and third instance hold the credit of the first
    And the second instance owes 3700 tokens
    When the first instance charges 400 tokens
    Then the charge is refused with a retry time

  Scenario: The second holder is asked when the first is silent
    Given 3 instances with 1000 tokens of credit each
    And the second and third instance hold the credit of the first
    And the second instance does not answer
    When the first instance charges 400 tokens
    And the first instance charges 400 tokens
    Then the charge is accepted
    And the second instance was asked 1 times and the third 2 times

  Scenario: An instance that reaches no holder charges its own part
    Given 3 instances with 1000 tokens of credit each
    And the second and third instance hold the credit of the first
    And no other instance answers
    When the first instance charges 400 tokens
    Then the charge is accepted
    And the second instance has 1000 tokens left and the third 1000

  Scenario: A malformed answer of a holder is no refusal
    Given 3 instances with 1000 tokens of credit each
    And the second and third instance hold the credit of the first
    And the second instance answers "no json"
    When the first instance charges 400 tokens
    Then the charge is accepted
    And the second instance was asked 1 times and the third 1 times

  # Many instances that each see few requests choose the same endpoints at the
  # same time. A holder sees all requests of its accounts.

  Scenario: A holder spreads the requests of many instances
    Given 3 instances with 1000 tokens of credit each
    And the second and third instance hold the credit of the first
    And the second instance knows the endpoints e0 to e5
    When the first instance charges 100 tokens for prompts of 9000 tokens, 6 times
    Then the prompts were placed at 5 endpoints or more

  Scenario: Requests of a session return to the endpoint that cached its prompt
    Given 3 instances with 1000 tokens of credit each
    And the second and third instance hold the credit of the first
    And the second instance knows the endpoints e0 to e5
    When the first instance charges 100 tokens for one session, 4 times in 8 seconds
    Then the prompts were placed at 1 endpoints

  Scenario: A refused request is placed nowhere
    Given 3 instances with 1000 tokens of credit each
    And the second and third instance hold the credit of the first
    And the second instance owes 3700 tokens
    And the second instance knows the endpoints e0 to e5
    When the first instance charges 400 tokens
    Then the charge is refused with a retry time

  # Guards against a holder that sends the instances of a large fleet to an
  # endpoint whose rate leaves no room, and against permits drawn twice.
  Scenario: The permit of a limited endpoint is drawn where it is chosen
    Given 3 instances with 1000 tokens of credit each
    And the second and third instance hold the credit of the first
    And the second instance knows the endpoints e0 to e5
    And all of them name a rate and the second instance has permits for e2
    When the first instance charges 10 tokens for prompts of 100 tokens, 5 times
    Then the prompts were placed at 1 endpoints
    And the permit came with each placement
