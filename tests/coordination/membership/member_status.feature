Feature: Status of members

  Scenario: A frozen peer is suspected, counts as dead and comes back
    Given 8 simulated nodes in 4 failure domains
    When node 0 is frozen for 12 seconds
    Then every other node considers node 0 dead
    And 5 seconds after it resumes every node considers node 0 alive
    And node 0 has suspected nobody

  Scenario: A short freeze is answered before the peer counts as dead
    Given 8 simulated nodes in 4 failure domains
    When node 0 is frozen until node 4 suspects it
    Then 5 seconds after it resumes every node considers node 0 alive
    And no node has ever considered node 0 dead

  Scenario: A peer restarted under its address leaves its former process behind
    Given 8 simulated nodes in 4 failure domains
    When node 0 is frozen for 12 seconds
    And node 0 is started again with incarnation 2
    Then after 5 seconds every node considers incarnation 2 of node 0 alive
    And a late fact of incarnation 1 of node 0 changes nothing
    And a late suspicion of incarnation 1 of node 0 changes nothing

  Scenario: A replaced instance takes the address of the former one
    Given 8 simulated nodes in 4 failure domains
    When a new instance starts at the address of node 0
    Then the new instance considers node 0 dead

  Scenario: The next incarnation grows though the clock was set back
    Then the incarnation after 5000 at wall-clock time 3 seconds is 5001
    And the incarnation after 0 at wall-clock time 3 seconds is 3000

  Scenario: A cut between failure domains makes no member dead
    Given 8 simulated nodes in 4 failure domains
    When a network partition separates failure domains 0 and 1 for 30 seconds
    Then no node suspects any member
    And a document published in failure domain 0 reaches every node in 7 seconds
    And nodes 0 and 4 do not reach failure domain 1
    And 10 seconds after the partition heals every node reaches every other one

  Scenario: A node that reaches nobody judges nobody
    Given 8 simulated nodes in 4 failure domains
    When all nodes but node 0 are frozen for 30 seconds
    Then node 0 suspects nobody

  Scenario: A member that a helper reaches is not suspected
    Given the membership of node 0 among 8 members in 4 failure domains
    When node 4 misses two heartbeats of node 0
    Then three helpers are asked to probe node 4
    And no suspicion is published when one of them reaches node 4
    And a late probe result of a helper changes nothing

  Scenario: A lagging list brings nobody back
    Given 8 simulated nodes in 4 failure domains
    When node 0 leaves
    Then after 3 seconds every other node considers node 0 to have left
    And a list that still names node 0 changes nothing
    And a list that lacks node 1 changes nothing

  Scenario: A node that was paused forgets what it waited for
    Given the membership of node 0 among 8 members in 4 failure domains
    When node 0 suspects node 4 and is then paused for 60 seconds
    Then node 0 does not consider node 4 dead at once
    And node 0 renews its member fact

  Scenario: A doubt about a node is answered with a later fact
    Given the membership of node 0 among 8 members in 4 failure domains
    When node 0 receives a fact that it is dead
    Then node 0 refutes it with a fact of a later version

  Scenario: A fact about a member that cannot be read is left aside
    Given 8 simulated nodes in 4 failure domains
    When a peer sends malformed member facts to node 0
    Then node 0 still has 8 members

  Scenario: A registration object holds a member
    Then a registration object decodes to its member
    And a malformed registration object raises a value error

  Scenario: A process registers above its former one and learns the others
    Given registration objects of 3 members and a malformed one
    When member 1 plans its start with its clock set back
    Then the planned incarnation is one above the registered one
    And the planned write expects the version of the member's object
    And the planned seeds are members 0 and 2
    And a new instance plans to create its object

  Scenario: The usual cleaner removes registrations of members that are gone
    Given registration objects of 3 members and a malformed one
    When members 0 and 2 count as dead and the list still names member 2
    Then member 1 removes the object of member 0 only
    And no other member removes any object
    And the object of a process that registered again is kept
