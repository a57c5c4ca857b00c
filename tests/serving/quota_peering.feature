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
