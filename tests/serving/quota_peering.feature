Feature: Quota credit is lent to the instance that lacks it

  Scenario: A peer gives up what is wanted and has that much less
    Given 3 instances with 1000 tokens of credit each
    When the first asks for 1500 tokens
    Then it borrowed 1500 tokens from 2 peers
    And the second has 0 tokens left and the third 500

  Scenario: A peer in debt says so
    Given 3 instances with 1000 tokens of credit each
    And the second owes 700 tokens
    When the first asks for 1500 tokens
    Then it borrowed 1000 tokens from 2 peers
    And it learned of a debt of 700 tokens

  Scenario: A lost answer loses credit and never doubles it
    Given 3 instances with 1000 tokens of credit each
    And the answers of the second are lost
    When the first asks for 1500 tokens
    Then it borrowed 1000 tokens from 2 peers
    And the second has 0 tokens left and the third 0

  Scenario: A silent peer holds a request up for a tenth of a second at most
    Given 3 instances with 1000 tokens of credit each
    And the second does not answer
    When the first asks for 1500 tokens
    Then it borrowed 0 tokens from 1 peers
    And a tenth of a second has passed

  Scenario: Each question begins with another peer
    Given 3 instances with 1000 tokens of credit each
    When the first asks for 100 tokens
    And the first asks for 100 tokens
    Then the second has 900 tokens left and the third 900
