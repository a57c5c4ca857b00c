Feature: Store and cloud stand-in

  Background:
    Given a store stand-in

  Scenario: Conditional updates, watches and a lost answer
    When object "doc/a" is created in the store
    Then a second creation of "doc/a" is answered 412
    And a watch of "doc" after 0 returns version 1 of "a"
    When the fault "drop_answer" is set at the store
    And object "doc/a" is updated with expected version 1
    Then the store's answer is lost
    And object "doc/a" has version 2

  Scenario: An outage answers every call with 503
    When the fault "outage" is set at the store
    Then a read of object "doc/a" is answered 503

  Scenario: A reclaimed failure domain is leaving and then gone
    Given the cloud lists instance "m1" in failure domain "fd-1"
    When the cloud reclaims failure domain "fd-1" after 2 seconds
    Then the cloud lists a notice for failure domain "fd-1"
    And the cloud lists "m1" as "leaving" within 5 seconds
    And the cloud lists "m1" as "gone" within 5 seconds

  Scenario: A start takes an idle address or is refused
    Given the cloud has the idle address "127.0.0.1:9" for role "model"
    Then a start of an instance of role "model" is answered 201
    And a start of an instance of role "model" is answered 409
