Feature: Stored objects relayed by collectors

  Scenario: An instance learns of changes without a call to the store
    Given a collector and an instance that both follow the store
    When an object is written and the collector reads the store
    And the instance reports to the collector
    Then the instance has the written object
    And the instance made no call to the store

  Scenario: Deletions are relayed
    Given a collector and an instance that both follow the store
    When an object is written and the collector reads the store
    And the instance reports to the collector
    And the object is deleted and the collector reads the store
    And the instance reports to the collector
    Then the instance has no object

  Scenario Outline: An instance reads the store itself without a recent relay
    Given a collector and an instance that both follow the store
    When the instance reports to the collector
    And <fault> for 4 seconds
    And an object is written
    And the instance reads
    Then the instance has the written object
    And the instance made 1 calls to the store

    Examples:
      | fault                                     |
      | the collector is frozen                   |
      | the collector is cut off from the store   |

  Scenario: A collector that the store turns away learns from another one
    Given a collector and another collector that both follow the store
    When the other collector is turned away for 4 seconds
    And an object is written and the collector reads the store
    And the other collector exchanges totals with the collector
    Then the other collector has the written object

  Scenario: A collector whose watch is answered asks nobody
    Given a collector and another collector that both follow the store
    When the other collector reads the store
    Then the other collector asks for nothing

  Scenario: A stale relay does not undo what the instance has read itself
    Given a collector and an instance that both follow the store
    When the instance asks the collector and waits for the answer
    And an object is written and the instance reads the store
    And the answer arrives
    Then the instance has the written object

  Scenario: A recovery of the store is relayed once
    Given a collector and an instance that both follow the store
    When the collector sees the store recover from an outage
    And the instance reports to the collector
    And the instance reports to the collector
    Then the instance recorded 1 recovery at the time of the collector's

  # Regression: an answer made while the collector noticed the recovery had the
  # new contact without the recovery. The instance forgot its own outage, took
  # the entries that had lapsed for gone and told its peers.

  Scenario: A relayed contact ends the outage of an instance's own reads
    Given a collector and an instance that both follow the store
    When the reads of the instance fail for 3 seconds
    And the instance receives a contact without a recovery
    Then the instance recorded 1 recoveries

  Scenario: A relayed contact from before an outage does not end it
    Given a collector and an instance that both follow the store
    When the reads of the instance fail for 3 seconds
    And the instance receives a contact from 3.5 seconds ago
    And the store answers the instance again
    Then the instance recorded 1 recoveries

  Scenario: A contact and the recovery it ends are told together
    Given a collector and an instance that both follow the store
    When the collector notices the recovery while the instance asks
    Then the instance recorded 1 recoveries

  Scenario: An instance without any objects reads the store itself
    Given a collector and an instance that both follow the store
    And the instance has just started and has read nothing
    When an object is written
    And the instance receives an answer without objects
    And the instance reads
    Then the instance has the written object

  Scenario: Malformed relayed objects are ignored with an event
    Given a collector and an instance that both follow the store
    When the instance receives malformed relayed objects
    Then the instance has no object

  # Guards against entries that the copy lacks and that are taken for gone at
  # once, although their writers write them again after any outage.
  Scenario Outline: A restore counts as a recovery before its list is handled
    Given a collector and an instance that follow a store with eras
    When the store with eras writes a, is copied, writes b and is restored
    And the collector reads the restored store
    And <way>
    Then the <who> was told of a recovery between the lists a, b and a

    Examples:
      | who       | way                                     |
      | collector | the instance does nothing               |
      | instance  | the instance reads the restored store   |
      | instance  | the instance asks the collector         |

  # Guards against an instance that takes objects which were lost.
  Scenario: An instance behind by an era gets every object of the new one
    Given a collector and an instance that follow a store with eras
    When the store with eras writes a, is copied, writes b and is restored
    And the store with eras writes c
    And the collector reads the restored store
    And the store with eras writes d
    And the collector reads the restored store
    And the instance is cut off from the store with eras
    And the instance asks the collector
    Then the instance has the objects a, c, d

  # Guards against an instance that hears nothing through a collector that does
  # not know of the restore, such as one of a build without eras.
  Scenario Outline: Contact of an earlier era is no contact
    Given a collector and an instance that follow a store with eras
    When the store with eras writes a, is copied, writes b and is restored
    And the instance reads the restored store
    And 4 seconds pass while the instance is told <answer> of the earlier era
    And the store with eras writes c
    And the instance reads
    Then the instance has the objects a, c

    Examples:
      | answer            |
      | a contact         |
      | a contact by name |
      | a recovery        |

  # Guards against an instance that waits for its collector although one of its
  # own calls has shown that the store was restored.
  Scenario: An instance that sees a new era in any answer reads at once
    Given a collector and an instance that follow a store with eras
    When the store with eras writes a, is copied, writes b and is restored
    And another call of the instance is answered
    And the instance reads
    Then the instance has the objects a

  Scenario: An instance that knows a later era takes none of an earlier one
    Given a collector and an instance that follow a store with eras
    And the instance has just started on the store with eras
    When the store with eras writes a, is copied, writes b and is restored
    And another call of the instance is answered
    And the instance asks the collector
    Then the instance has no object

  # Guards against an instance whose lost records are not written again, since
  # it reads through a collector and makes no call of its own.
  Scenario: An instance learns of a restore through its collector
    Given a collector and an instance that follow a store with eras
    When the store with eras writes a, is copied, writes b and is restored
    And the collector reads the restored store
    And the instance asks the collector
    And the instance asks the collector
    Then the store client of the instance knows era 2 and has logged it once
    And the instance made no call to the store

  # Guards against lists of each instance when one of its kinds is told of a
  # restore: its collector tells it of the others in the same answer.
  Scenario: An instance that is told of a restore lists no kind by itself
    Given a collector and an instance that follow two kinds with eras
    When the store with eras writes a, is copied, writes b and is restored
    And the collector reads both kinds of the restored store
    And the instance asks the collector
    Then the store client of the instance knows era 2 and has logged it once
    And the instance made no call to the store
    And no kind of the instance is from before the restore

  # Guards against a watch on a connection that hangs over a restore: nothing of
  # the new era was read until it had timed out.
  Scenario: A watch that hangs delays nothing once a new era is known
    Given a collector and an instance that follow a store with eras
    When the store with eras writes a, is copied, writes b and is restored
    And a watch of the collector hangs
    And another call of the collector is answered
    Then the collector has only the object a within 2 seconds
    And the collector is told nothing more when its watch ends

  # Guards against a configuration that comes into force late at an instance
  # whose peers do not answer, though the store does.
  Scenario: An instance without its peers reads the store within the bound
    Given a collector and an instance that both follow the store
    When the instance reports to the collector
    And an object is written
    And the instance reads on for 1.9 of the 2 seconds of the bound
    Then the instance has the written object

  # Guards against an instance in touch that learns too late that an endpoint
  # leaves or a configuration changed: its collector answers and has lost the
  # store.
  Scenario Outline: A collector without the store delays no change too long
    Given a collector and an instance that both follow the store
    And changes have to be known in <bound_s> seconds
    When the instance reports to the collector
    And the collector loses the store and an object is written
    And the instance reads and reports until 0.1 seconds before the bound
    Then the instance has the written object

    Examples:
      | bound_s |
      | 2.0     |
      | 3.0     |
      | 4.0     |

  # Guards against an instance of an older build that keeps a version with an
  # era, and then takes all that it reads in the store itself for stale.
  Scenario Outline: An instance of a build without eras gets plain revisions
    Given a collector and an instance that follow a store with eras
    When the store with eras writes a
    And the collector reads the restored store
    And an instance of a build without eras at <revision> asks the collector
    Then it is told the objects a and the revisions of the store as <form>

    Examples:
      | revision | form        |
      | none     | all objects |
      | 7        | changes     |
