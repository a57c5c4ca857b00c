Feature: Lease on the duties

  # Guards against a second holder: an absent lease may be one that a restore
  # of the store has lost.
  Scenario: The first one to write has the duties
    Given instances a and b with one lease object
    When the lease instances run for 3.9 seconds
    Then no instance holds the lease
    When the lease instances run for 2 seconds
    Then exactly one instance holds the lease

  Scenario: The holder keeps the duties and its fencing number
    Given instances a and b with one lease object
    When the lease instances run for 6 seconds
    And the lease instances run for 20 seconds
    Then the holder and its fencing token are unchanged

  Scenario: Another one takes over with a higher fencing number
    Given instances a and b with one lease object
    When the lease instances run for 6 seconds
    And the holder stops
    And the lease instances run for 6 seconds
    Then the other instance holds the lease with a higher fencing token

  Scenario: A holder that was frozen does not act when it wakes
    Given instances a and b with one lease object
    When the lease instances run for 6 seconds
    And the holder is frozen for 6 seconds
    Then the former holder does not hold the lease
    And 3 seconds later exactly one instance holds the lease

  Scenario: No holder acts while the store is away
    Given instances a and b with one lease object
    When the lease instances run for 6 seconds
    And the store is unavailable for 3 seconds
    Then no instance holds the lease

  Scenario: A lease that is given up is taken at once
    Given instances a and b with one lease object
    When the lease instances run for 6 seconds
    And the holder releases the lease
    And the lease instances run for 2 seconds
    Then the other instance holds the lease with a higher fencing token

  Scenario: A renewal whose answer was lost does not make two holders
    Given instances a and b with one lease object
    When the lease instances run for 6 seconds
    And the answers of all writes are lost for 3 seconds
    Then at most one instance holds the lease

  Scenario: Holders never alternate within the time they promise
    Then random faults never cause two holders or a lower fencing token

  # Guards against a holder that still acts, or whose call is still on its way,
  # when another instance acts.
  Scenario Outline: The intervals of a lease of <lease_s> seconds leave time for the last call
    When the rules of a lease of <lease_s> seconds with calls of 1 second are made
    Then the holder renews before its time ends
    And the last call of the holder ends before another instance takes over
    And another instance takes over <lease_s> seconds after a renewal or later

    Examples:
      | lease_s |
      | 0.05    |
      | 0.5     |
      | 1       |
      | 2       |
      | 3       |
      | 10      |
      | 60      |

  # Guards against settings under which two instances act at a time.
  Scenario Outline: Rules of a lease without time for the last call are refused
    Then lease rules of <renew_s>, <hold_s>, <takeover_s> and calls of 1 second are refused

    Examples:
      | renew_s | hold_s | takeover_s |
      | 1       | 2      | 1.5        |
      | 1       | 2      | 2.9        |
      | 2       | 2      | 4          |
      | 0       | 2      | 4          |
