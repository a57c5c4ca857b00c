Feature: Quarantine

  Scenario: Two different endpoints condemn a request
    When request f1 crashes endpoint e0
    Then request f1 is not in quarantine
    When request f1 crashes endpoint e1
    Then request f1 is in quarantine
    And request f2 is not in quarantine

  Scenario: The same endpoint twice does not
    When request f1 crashes endpoint e0
    And request f1 crashes endpoint e0
    Then request f1 is not in quarantine

  Scenario: One crash here and one at a peer condemn a request everywhere
    When request f1 crashes endpoint e0
    And a peer reports that request f1 crashed endpoint e1
    Then request f1 is in quarantine
    And its refusal is not run and has no retry time

  Scenario: The account and the request id do not change the fingerprint
    Then a fingerprint depends on service, class and body alone

  Scenario: Merging in any order and number gives the same quarantine
    Then crash facts merge to the same quarantine in any order

  Scenario: Single crashes cannot push out a condemned request
    When request f1 crashes endpoint e0
    And request f1 crashes endpoint e1
    And 10000 other requests crash one endpoint each
    Then request f1 is in quarantine
    And the quarantine holds at most 4096 fingerprints

  Scenario: The end of a leaving endpoint blames no request
    When leaving endpoint e0 ends while it runs silent f1
    And leaving endpoint e1 ends while it runs silent f1
    Then request f1 is not in quarantine

  Scenario: Requests whose answer was under way are not blamed
    When endpoint e0 ends while it runs silent f1 and answering f2
    And endpoint e1 ends while it runs silent f1 and answering f2
    Then request f1 is in quarantine
    And request f2 is not in quarantine
    And request f2 is not a suspect

  Scenario: A crash in the middle of the only answer blames its request
    When endpoint e0 ends while it runs answering f1
    Then request f1 is a suspect
