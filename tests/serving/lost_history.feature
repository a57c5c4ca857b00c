Feature: Following the store over the loss of its history

  # Guards against instances that never follow the store again: after an
  # outage, the answers of their peers ended the duty to list the objects, so
  # each watch went on from the same lost revision.
  Scenario Outline: A change made while the history was lost is known in time
    Given 4 instances that follow the store, with the seeds 0 to 19
    When the store is away for <outage_s> s, then changes and drops its history
    Then each instance knows the change within 2.0 s

    Examples:
      | outage_s |
      | 0.0      |
      | 1.0      |
      | 4.5      |
      | 12.0     |

  # Guards against a store that drops its history again and again: every watch
  # after a list is lost as well. 240 followers, those of four kinds at 60
  # instances, share the 2,000 reads a second that the store allows.
  Scenario: Changes are known in time although no history is ever kept
    Given 4 instances that follow the store, with the seeds 0 to 9
    When the store drops its history with each change for 20 s
    Then each instance knows each change within 2.0 s
    And no instance made more than 8 calls a second to the store

  # Guards against a duty to list that ends although nothing was read.
  Scenario Outline: Only a list of the instance itself ends its duty to list
    Given an instance and a peer that follow the store
    When the peer reads <peer_reads> more changes
    And the store changes and drops its history
    And a read of the instance finds the history lost and cannot list
    And the instance asks the peer
    And the instance reads the store
    Then the instance has listed the objects and knows the change

    Examples:
      | peer_reads |
      | 0          |
      | 1          |
      | 3          |

  # Guards against a lost history that is forgotten since another thread moved
  # the position meanwhile, to one that is lost as well.
  Scenario: A loss is not forgotten when a peer moves the position meanwhile
    Given an instance and a peer that follow the store
    When the peer reads 2 more changes
    And the store changes and drops its history
    And the instance hears of the peer while its watch finds the history lost
    And the instance reads the store
    Then the instance has listed the objects and knows the change

  # Guards against a list from before the loss that is taken for one after it.
  Scenario: A list that began before the loss does not end the duty to list
    Given an instance and a peer that follow the store
    When another thread lists the objects while the history is lost
    And the instance reads the store
    Then the instance has listed the objects and knows the change

  # Guards against a list whose pages come from before and after the loss.
  Scenario: A loss between two pages of a list is found by the next watch
    Given an instance and a peer that follow the store
    When an object is removed and the history is lost between two pages
    And the instance reads the store 4 times
    Then the instance has the objects that the store has

  # Guards against an instance that vouches to its peers for the answer to a
  # read that it has not applied.
  Scenario Outline: An answer that is not applied is no contact
    Given an instance and a peer that follow the store
    When <answer> arrives 2 s later, after a peer has moved the position
    Then the last contact of the instance is 2 s old

    Examples:
      | answer                |
      | the answer to a watch |
      | the answer of a peer  |

  # Guards against a watch that requests all objects from a revision that the
  # store has dropped, and never knows them.
  Scenario Outline: A watch whose store has dropped even the first history
    Given a watch of the objects of a store, with <before> reads before
    When the store changes and drops its history
    And the watch is read 4 times
    And the store changes once more
    And the watch is read 4 times
    Then the watch has reported the objects first, second, third
    And the watch ended with a call that waits for changes

    Examples:
      | before |
      | 0      |
      | 1      |
