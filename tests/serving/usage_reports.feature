Feature: Usage reports across a restore of the store

  # Guards against two counts for one window: the holder finds an older report
  # in the restored store and counts the windows since then anew.
  Scenario Outline: A holder repeats no window after a restore
    Given a fleet whose usage is reported, over a store that was copied
    When the store is restored and <event>
    And requests that were counted late are known everywhere
    And the fleet runs for 30 seconds
    Then no window was reported with two counts
    And every window that has ended was reported
    And the stored report is the latest that was sent

    Examples:
      | event                            |
      | the holder keeps the duties      |
      | the holder acquires them again   |
      | is restored once more            |

  # Guards against two counts for a window, and against windows that are left
  # out for good, when the store was away before it was restored.
  Scenario Outline: An outage before the restore makes no two counts
    Given a fleet whose usage is reported, over a store that was copied
    When the store is away for <away> seconds and is restored
    And requests that were counted late are known everywhere
    And the fleet runs for 30 seconds
    Then no window was reported with two counts
    And every window that began after the restore was reported
    And the stored report is the latest that was sent

    Examples:
      | away |
      | 1    |
      | 3    |
      | 8    |

  # Guards against windows that are left out although no successor can have
  # reported yet: the holder could not renew the lease, and nobody else was there.
  Scenario Outline: A holder alone leaves out no window after an outage before the restore
    Given a fleet whose usage is reported, over a store that was copied
    When the store is away for <away> seconds and is restored
    And requests that were counted late are known everywhere
    And the fleet runs for 30 seconds
    Then no window was reported with two counts
    And every window that has ended was reported

    Examples:
      | away |
      | 3    |
      | 4    |
      | 5    |

  # Guards against two counts for a window that a successor has reported as
  # early as the lease allows, before a restore that its predecessor sees at once.
  Scenario: A former holder repeats no window of the earliest successor
    Given a fleet whose usage is reported, over a store that was copied
    When the holder is cut off until the earliest successor has reported
    And the store is restored and the former holder acquires the duties
    And the fleet runs for 30 seconds
    Then no window was reported with two counts
    And every window that began after the restore was reported

  # Guards against a report that only the holder knows after a restore: it is
  # lost with the holder, unless the store has it again soon.
  Scenario: The latest report is in the restored store within a second
    Given a fleet whose usage is reported, over a store that was copied
    When the store is restored and the holder keeps the duties
    And the fleet runs for 1 seconds
    Then the stored report is the latest that was sent

  # Guards against a successor that counts anew what a holder that is gone has
  # reported before the restore.
  Scenario Outline: A successor repeats no window of a holder that was killed
    Given a fleet whose usage is reported, over a store that was copied
    When <event>
    And the store is restored and a successor takes over
    And requests that were counted late are known everywhere
    And the fleet runs for 30 seconds
    Then no window was reported with two counts
    And every window that began after the restore was reported
    And the stored report is the latest that was sent

    Examples:
      | event                                             |
      | the holder is killed                              |
      | the holder is killed after a report to nobody     |
      | the holder is killed before it sent a report      |
      | the holder is killed while its answers are lost   |

  # Guards against windows that are counted anew from the stored report of the
  # copy when nobody is left who knows what was reported since.
  Scenario: A fleet that starts anew after a restore repeats no window
    Given a fleet whose usage is reported, over a store that was copied
    When the store is restored while all instances start anew
    And requests that were counted late are known everywhere
    And the fleet runs for 30 seconds
    Then no window was reported with two counts
    And every window that began after the restore was reported

  # Guards against what two restores in a row leave: the report of the era
  # between them is in neither the store nor the copy.
  Scenario: A second restore right after a takeover repeats no window
    Given a fleet whose usage is reported, over a store that was copied
    When the store is restored and a successor takes over
    And the fleet runs for 12 seconds
    And the store is restored and a successor takes over
    And requests that were counted late are known everywhere
    And the fleet runs for 30 seconds
    Then no window was reported with two counts
    And every window that began after the restore was reported

  # Guards against a write that the store carries out seconds later and that
  # replaces the stored report by one with other counts.
  Scenario Outline: A late write of a report does not change what was sent
    Given a fleet whose usage is reported, over a store that was copied
    When the latest report is replaced in the store by a late write
    And <event>
    And the fleet runs for 30 seconds
    Then no window was reported with two counts
    And the stored report is the latest that was sent

    Examples:
      | event                                        |
      | the store is restored and keeps the write    |
      | the holder goes on                           |
      | a successor takes over                       |

  # Guards against a decision by the era from before the read that brings the
  # news of a restore.
  Scenario: A restore between two calls of a successor repeats no window
    Given a fleet whose usage is reported, over a store that was copied
    When the holder is killed after a report to nobody
    And requests that were counted late are known everywhere
    And a successor takes over and the store is restored at its first read
    And the fleet runs for 30 seconds
    Then no window was reported with two counts
    And every window that began after the restore was reported

  # Guards against an era that another thread sees between the judgement of the
  # era and the read of the stored report.
  Scenario Outline: A restore that another thread sees during a call repeats no window
    Given a fleet whose usage is reported, over a store that was copied
    When the holder is killed after a report to nobody
    And requests that were counted late are known everywhere
    And a successor takes over and another thread sees a restore at query <query> of the era
    And the fleet runs for 30 seconds
    Then no window was reported with two counts
    And every window that began after the restore was reported

    Examples:
      | query |
      | 1     |
      | 2     |
      | 3     |
      | 4     |
      | 5     |
      | 6     |

  # Guards against a late write from before a restore that only the store knows:
  # the report that was sent of that window had other counts.
  Scenario: A stored report from before a restore that nobody knows is not sent
    Given a fleet whose usage is reported, over a store that was copied
    When the holder is killed after a report to nobody
    And the store is restored and another report of that window is written late
    And a successor takes over
    And the fleet runs for 30 seconds
    Then no window was reported with two counts
    And every window that began after the restore was reported

  # Guards against orders of restores, takeovers, cuts between instances, lost
  # answers and late writes that nobody thought of.
  Scenario: No order of events makes two counts of one window
    Then in runs of seeds 0 to 199 no window is reported with two counts

  # Guards against the order of events that a longer run has found.
  Scenario: The order of events of seed 2476 makes no two counts of one window
    Then in runs of seeds 2476 to 2476 no window is reported with two counts

  # Guards against windows that are left out although nobody reported them:
  # the stored report was prepared in the era of today.
  Scenario: A fleet that starts anew without a restore leaves out no window
    Given a fleet whose usage is reported, over a store that was copied
    When all instances start anew
    And the fleet runs for 30 seconds
    Then every window that has ended was reported

  # Guards against windows that are left out without a restore.
  Scenario: A successor without a restore reports every window
    Given a fleet whose usage is reported, over a store that was copied
    When the holder is killed
    And a successor takes over
    And the fleet runs for 30 seconds
    Then every window that has ended was reported
