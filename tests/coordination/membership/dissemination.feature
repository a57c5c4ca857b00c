Feature: Dissemination of facts

  Scenario: Facts reach every node over lost, doubled and late messages
    Given 24 simulated nodes that lose 20% and duplicate 20% of the messages
    When every node publishes a verdict
    Then all nodes hold the same lasting facts within 30 seconds

  Scenario: A new document reaches 160 nodes in time
    Given 160 simulated nodes in 16 failure domains and 5 regions
    When a document is published by node 17
    Then every node has the document within 7 seconds

  Scenario: A new document passes frozen relays
    Given 160 simulated nodes in 16 failure domains and 5 regions
    When two relays of each failure domain are frozen
    And a document is published by a running node
    Then every running node has the document within 7 seconds
    And the relays have the document 7 seconds after they resume

  Scenario: A node that starts takes the document in force from its peers
    Given 8 simulated nodes in 4 failure domains
    When a document is published by node 1
    And node 0 is started again with incarnation 2
    Then every node has the document within 7 seconds

  Scenario: The number of targets does not grow with the members
    Then a relay has at most 3 targets a round and others have 1
    And every member is the ring target of one other in each round

  Scenario: A large fact is sent only to those who ask
    Given 8 simulated nodes in 4 failure domains
    When a document of 50000 bytes is published by node 0
    Then every node has the document within 7 seconds
    And each node but node 0 received the document once

  Scenario: Urgent facts go first when bytes are short
    Given a node whose byte budget is spent
    When the node has a verdict and a counter snapshot that a peer lacks
    Then the next message to the peer has the verdict and the local member fact
    And the leave announcement is sent even with another message in flight
    And the counter snapshot follows when the byte budget is refilled

  Scenario: Nodes agree after any sequence of faults
    Then nodes under random faults never lose a version and converge in the end

  # Guards against sending the level of every instance at each first contact,
  # which exceeds the byte budget of a large fleet.
  Scenario: The levels of all instances reach a node that starts late
    Given 40 simulated nodes in 4 failure domains
    When every node publishes its level
    Then every node has 40 levels within 7 seconds
    When 60 seconds pass in the cluster
    And node 0 is started again with incarnation 2
    Then every node has 40 levels within 30 seconds
    And no answer to a node that is met for the first time has a level
