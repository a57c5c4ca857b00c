Feature: Quarantine of prompt parts

  Scenario: Three different endpoints condemn a part
    When part a crashes endpoints e0, e1
    Then a prompt with parts a, b is not in quarantine
    When part a crashes endpoints e1
    Then a prompt with parts a, b is not in quarantine
    When part a crashes endpoints e2
    Then a prompt with parts a, b is in quarantine
    And a prompt with parts b is not in quarantine

  Scenario: An answer that has begun clears its parts, before and after
    When parts a, b crash endpoints e0, e1, e2, e3
    And an answer to parts a begins
    Then a prompt with parts a is not in quarantine
    And a prompt with parts b is in quarantine
    When parts a crash endpoints e4, e5, e6
    Then a prompt with parts a is not in quarantine

  Scenario: Of two parts that came together one alone is not blamed
    When parts a, b crash endpoints e0, e1, e2
    Then a prompt with parts a is not in quarantine
    And a prompt with parts b is not in quarantine
    And a prompt with parts a, b is in quarantine
    When part a crashes endpoints e3
    Then a prompt with parts a is in quarantine
    And a prompt with parts b is not in quarantine

  Scenario: Several requests at one endpoint count as one crash
    When part a crashes endpoints e0, e0, e0, e0
    Then a prompt with parts a is not in quarantine

  Scenario: Crashes merge to the same quarantine in any order
    Then part crashes and sound parts merge to the same quarantine in any order

  Scenario: Single crashes cannot push out a condemned part
    When part a crashes endpoints e0, e1, e2
    And 10000 other parts crash one endpoint each
    Then a prompt with parts a is in quarantine
    And at most 4096 parts are suspects
