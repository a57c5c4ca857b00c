Feature: One holder of the duties across restores of the store

  # Guards against a second holder: the copy shows the lease as free, while
  # the holder of before still acts.
  Scenario Outline: A lease that a restored store shows as <copy> is not taken before the earlier holder is done
    Given duty managers a, b and c over a store that can be restored
    And a copy of the store in which the lease is <copy>
    When one duty manager holds the duties
    And the store is restored from that copy <times> times
    And the duty managers run for 20 seconds
    Then no two duty managers acted within a call's time of each other
    And the tokens of all duty calls rise from holder to holder
    And one duty manager acts again

    Examples:
      | copy     | times |
      | absent   | 1     |
      | absent   | 3     |
      | released | 1     |
      | released | 3     |
      | held     | 1     |
      | held     | 3     |

  # Guards against duties that nobody performs for seconds after each restore:
  # the holder waits for its own lease to lapse although nobody else held it.
  Scenario Outline: The holder performs the duties again within the lease time of a restore
    Given duty managers a, b and c over a store that can be restored
    When one duty manager holds the duties
    And the store is restored <times> times from copies of 1.5 seconds before, <gap_s> seconds apart
    Then the holder acted within the lease time of each restore
    And nobody else acted since the first of these restores
    And the tokens of all duty calls rise from holder to holder

    Examples:
      | times | gap_s |
      | 1     | 12    |
      | 6     | 3     |
      | 6     | 4.5   |

  # Guards against a holder that takes back a lease that another instance has
  # held since its last renewal, as soon as a copy names it.
  Scenario Outline: A holder that was cut off for <cut_s> seconds waits when a copy names it
    Given duty managers a, b and c over a store that can be restored
    When one duty manager holds the duties
    And it is cut off for <cut_s> seconds and the store is restored from a copy of before
    And the duty managers run for 20 seconds
    Then no two duty managers acted within a call's time of each other
    And the tokens of all duty calls rise from holder to holder
    And one duty manager acts again

    Examples:
      | cut_s |
      | 4.25  |
      | 5     |
      | 6     |
      | 8     |

  # Guards against a second holder: an instance that has just started cannot
  # know that the store was restored a moment ago.
  Scenario Outline: An instance that starts after a restore to <copy> does not act beside the earlier holder
    Given duty managers a, b and c over a store that can be restored
    And a copy of the store in which the lease is <copy>
    When one duty manager holds the duties
    And it is cut off from the store, which is restored from that copy
    And duty manager d starts
    And the duty managers run for 20 seconds
    Then no two duty managers acted within a call's time of each other
    And the tokens of all duty calls rise from holder to holder

    Examples:
      | copy     |
      | absent   |
      | released |
      | held     |

  # Guards against duties that nobody performs after a start for longer than
  # an earlier holder may act: a candidate's wait counts from its first contact
  # with the store, not from when it becomes a candidate.
  Scenario: An instance that becomes a candidate late has waited already
    Given duty managers a and b over a store that can be restored
    And both become candidates 3 seconds after their first contact
    When the duty managers run for 5.5 seconds
    Then one duty manager holds the lease and the store was read once a second at most

  # Guards against a write that waits for its turn while the store is restored
  # to a copy without the lease.
  Scenario: A lease that is created in a later era than it was absent in is not held
    Given a lease whose object is absent in era 2 for 5 seconds
    When the write that creates it is applied in era 3
    Then the lease is not held and is read again

  # Guards against the order A, B, A within the time of the lease: the first
  # holder takes the lease at once when the second one releases it.
  Scenario: An earlier holder does not take a released lease at once
    Given duty managers a and b over a store that can be restored
    When one duty manager holds the duties
    And it is cut off until the other one acts, which then releases
    And the duty managers run for 10 seconds
    Then no duty manager acts before and after another within the lease time

  # Guards against a write that its sender has given up and that acquires,
  # renews or releases the lease behind its back.
  Scenario Outline: A <write> that the store carries out <late_s> seconds late makes no second holder
    Given duty managers a, b and c over a store that can be restored
    When one duty manager holds the duties
    And the next <write> of the lease is carried out <late_s> seconds late
    And the duty managers run for 25 seconds
    Then the late write was carried out
    And the tokens of all duty calls rise from holder to holder
    And one duty manager acts again after the late write

    Examples:
      | write    | late_s |
      | takeover | 1      |
      | takeover | 3      |
      | takeover | 6      |
      | renewal  | 1      |
      | renewal  | 3      |
      | renewal  | 6      |
      | release  | 1      |
      | release  | 3      |
      | release  | 6      |

  # Guards against two holders, falling or equal tokens, and holders that
  # alternate within the time of the lease.
  Scenario: Restores, lost and late writes and releases never cause two holders
    Then duty managers under 150 seeds of random faults act one at a time
