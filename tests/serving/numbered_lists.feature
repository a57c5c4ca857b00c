Feature: Numbered lists that their server begins anew

  # Guards against an engine whose cache is never known again after a restart,
  # since its new events have lower numbers than the last one that was read.
  Scenario: The cache of an engine that has restarted is known again
    Given an engine with 40 cache events that are read
    When the engine restarts and publishes 3 cache events
    And the cache events are read
    Then the engine is known to hold the 3 prefixes and no other

  # Guards against a reclaim notice that nobody reads, since the cloud API has
  # begun to number its notices anew.
  Scenario: A notice after a restart of the cloud API is applied
    Given a cloud API with 5 reclaim notices that are read
    When the cloud API restarts and gives 1 notice
    And the reclaim notices are read
    Then 6 notices were applied

  Scenario: Items that are read again are applied once
    Given a cloud API with 5 reclaim notices that are read
    When the reclaim notices are read
    Then 5 notices were applied
    And the last read made 1 call
