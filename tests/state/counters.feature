Feature: Counters merged between nodes

  Scenario: Lost, doubled, late and crossed messages give the same counts
    Given any messages of counters from three nodes
    Then every order of them with duplicates merges into the same counts

  Scenario: A restarted node keeps its former counts
    Given counters of node a that counted 5 failures in incarnation 1
    And counters of node a that counted 2 failures in incarnation 2
    When the counters of both incarnations are merged at node b
    Then node b counts 7 failures

  Scenario: A lost message of counters is repaired by the next one
    Given counters of node a that counted 5 failures in incarnation 1
    When one message of counters is lost and 3 more failures follow
    Then node b counts 8 failures

  Scenario: An echo of the own counters changes nothing
    Given counters of node a that counted 5 failures in incarnation 1
    When a peer reports 9 failures in the name of node a
    Then node a still counts 5 failures

  Scenario: Failures of a quarantined request are not blamed
    Given counters of node a that counted 5 failures in incarnation 1
    When 4 of the failures are excused
    Then 1 failure is attributed to the version

  Scenario: Unchanged rows are left out of a message of counters
    Given counters of node a with 40 counted routes
    When one route counts another latency
    Then the next message of counters holds 1 row in under 80 bytes

  Scenario: Damaged messages of counters are a typed error
    Given counters of node a with 40 counted routes
    Then any damage to their message raises a typed error or decodes to counts
