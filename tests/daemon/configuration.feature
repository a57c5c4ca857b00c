@site
Feature: A change of the document over real processes

  Background:
    Given two more instances in one failure domain
    And the active version is monitored on every instance

  Scenario: A change is in force on every instance
    When weight 5 is applied
    Then the command ends as applied
    And every instance uses the change within 7 seconds
    And no instance went back to an earlier version

  Scenario: A store outage changes nothing
    When the platform's store becomes unavailable
    And 2 real seconds pass
    Then every instance is ready
    When weight 6 is applied
    Then the command ends as unavailable
    When the platform's store becomes available again
    And weight 7 is applied
    Then every instance uses the change within 7 seconds
    And no instance went back to an earlier version

  Scenario: A stale read hides no change
    When every instance is frozen
    And the platform's store becomes unavailable
    And the platform's store becomes available again
    And weight 8 is applied
    And the next 40 reads of the store are stale
    And every instance is thawed
    Then every instance uses the change within 7 seconds
    And no instance went back to an earlier version

  Scenario: The answer to a change is lost
    When the store's next 1 answers to changes are lost
    And weight 9 is applied
    Then the command ends as applied
    And every instance uses the change within 7 seconds
    And no instance went back to an earlier version

  Scenario: A frozen instance catches up
    When instance 1 is frozen
    And weight 10 is applied
    Then the other instances use the change within 7 seconds
    When every instance is thawed
    Then every instance uses the change within 7 seconds
    And no instance went back to an earlier version

  Scenario: A restarted instance takes the document from a peer
    When weight 11 is applied
    Then every instance uses the change within 7 seconds
    When the platform's store becomes unavailable
    And instance 2 is killed and started again
    Then every instance uses the change within 7 seconds
    And every instance is ready
    And no instance went back to an earlier version

  Scenario: One of two racing operators gets a conflict
    When weights 12 and 13 are applied at once
    Then one command is applied and the other ends as conflict with a remedy
    And every instance uses the change within 7 seconds
    And no instance went back to an earlier version

  Scenario: An instance that hears nobody leaves readiness
    When the platform's store becomes unavailable
    And every instance but 1 is frozen
    Then instance 1 becomes unready
    When the platform's store becomes available again
    Then instance 1 is ready
    When every instance is thawed
    Then every instance is ready
    And no instance went back to an earlier version
