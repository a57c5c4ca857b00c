Feature: Following the endpoints over cuts of the path to the store

  # Guards against requests to an endpoint whose entry is gone, by an instance
  # that was cut off from a store that was well: it took its own cut for an
  # outage of the store and the removed entry for a lapsed one.
  Scenario Outline: An endpoint removed at the end of a cut is left in time
    Given an instance in touch <contact_s> s after a cut and bound in <drain_s> s
    When a cut of <length_s> s ends and e1 is removed, in 60 phases
    Then e1 is out of use 0.1 s before the instance counts as in touch

    Examples:
      | contact_s | drain_s | length_s |
      | 3.0       | 2.0     | 12.0     |
      | 3.0       | 2.0     | 4.0      |
      | 4.0       | 3.0     | 12.0     |
      | 5.0       | 4.0     | 12.0     |
      | 2.0       | 1.5     | 12.0     |

  # Guards against a change that is read too late because a watch hangs on a
  # connection that a short cut has silenced.
  Scenario Outline: A watch that hangs over a short cut delays no change too long
    Given an instance in touch <contact_s> s after a cut and bound in <drain_s> s
    When a cut of <length_s> s ends and e1 is <state>, in 60 phases
    Then e1 is out of use 0.1 s before the instance counts as in touch

    Examples:
      | contact_s | drain_s | length_s | state    |
      | 3.0       | 2.0     | 0.1      | draining |
      | 3.0       | 2.0     | 0.1      | removed  |
      | 3.0       | 2.0     | 1.0      | draining |
      | 4.0       | 3.0     | 0.1      | draining |
      | 5.0       | 4.0     | 0.1      | removed  |

  # Guards against an instance in touch that keeps an endpoint whose entry is
  # gone because a peer was cut off from the store.
  Scenario: The outage of a peer keeps no endpoint for longer than the bound
    Given an instance in touch 4.0 s after a cut and bound in 3.0 s
    When a peer that was cut off for 1.6 s tells that e1 is removed
    Then e1 is out of use 2.9 s after the last answer before

  # Guards against an endpoint whose entry a restored store lacks because it has
  # left, and that is kept from when the restore is known, however late.
  Scenario: A restore keeps no endpoint for longer than the bound
    Given an instance in touch 3.0 s after a cut and bound in 2.0 s
    When it knows 2.5 s after the last answer of a restore without e1
    Then e1 is out of use 2.9 s after the last answer before

  # Guards against the loss of endpoints that are alive, whose entries lapsed in
  # an outage of the store and come back with their next heartbeat.
  Scenario: Lapsed entries are kept for a heartbeat after the store returns
    Given an instance in touch 3.0 s after a cut and bound in 2.0 s
    When the store is away for 12.0 s and e1 lapses meanwhile, in 60 phases
    Then e1 is in use for 1.3 s after the return at least
