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

  # Guards against a request being refused for good that was in flight, by
  # chance, at two endpoints that crashed (review/2).
  Scenario: A request that was completed before is not blamed for one failure
    When request f1 is completed at 1 s
    And at 2 s request f1 crashes endpoint e0
    And at 2 s request f1 crashes endpoint e1
    And at 2.5 s request f1 crashes endpoint e2
    Then request f1 is not in quarantine

  # Guards against the same where the crashes are told before the completion.
  Scenario: A completion ends the quarantine of a request
    When at 2 s request f1 crashes endpoint e0
    And at 2 s request f1 crashes endpoint e1
    Then request f1 is in quarantine
    When request f1 is completed at 3 s
    Then request f1 is not in quarantine
    And request f1 is not a suspect

  # Guards against a peer's word that outweighs a completion known here.
  Scenario: A peer does not quarantine a request that was completed here
    When request f1 is completed at 1 s
    And a peer has quarantined request f1 at 2 s
    Then request f1 is not in quarantine
    When a peer has quarantined request f2 at 2 s
    Then request f2 is in quarantine

  # Guards against a request that a new version of the endpoints cannot
  # execute, since it was executed by the one before.
  Scenario: A request that was completed before may crash endpoints now
    When request f1 is completed at 1 s
    And at 10 s request f1 crashes endpoint e0
    And at 16 s request f1 crashes endpoint e1
    Then request f1 is not in quarantine
    When at 22 s request f1 crashes endpoint e2
    Then request f1 is in quarantine

  # Guards against crashes of endpoints by themselves that add up over hours.
  Scenario: Crashes between completions do not add up
    When at 10 s request f1 crashes endpoint e0
    And request f1 is completed at 11 s
    And at 20 s request f1 crashes endpoint e1
    And request f1 is completed at 21 s
    And at 30 s request f1 crashes endpoint e2
    And at 40 s request f1 crashes endpoint e3
    Then request f1 is not in quarantine

  # Guards against an entry without an end.
  Scenario: A quarantine ends after a day
    When at 10 s request f1 crashes endpoint e0
    And at 20 s request f1 crashes endpoint e1
    And the quarantine expires what is old at 80000 s
    Then request f1 is in quarantine
    When the quarantine expires what is old at 90000 s
    Then request f1 is not in quarantine

  Scenario: Completions merge with crashes in any order
    Then crashes and completions merge to the same quarantine in any order
