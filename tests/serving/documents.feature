Feature: The configuration in force over a restore of the store

  # Guards against a configuration that comes back older: the restored store
  # lists it with a later version than the newer one had.
  Scenario: The older configuration of a restored store is not put into force
    Given readers a and b that follow the configuration
    When the operator writes configuration 7
    And the configuration store is copied
    And the operator writes configuration 8
    And the configuration store is restored
    Then reader a has put into force 7, 8
    And reader b has put into force 7, 8
    And each reader has logged event 6010 once

  # Guards against one that is put into force twice, and one that is taken for
  # stale since the revisions have fallen.
  Scenario: Configurations that follow a restore are put into force once
    Given readers a and b that follow the configuration
    When the operator writes configuration 7
    And the configuration store is copied
    And the operator writes configuration 8
    And the configuration store is restored
    And the operator writes configuration 8
    And the operator writes configuration 12
    Then reader a has put into force 7, 8, 12
    And reader b has put into force 7, 8, 12

  # Guards against an instance that has only the copy, and against its copy
  # replacing the newer configuration in the gossip of its peers.
  Scenario Outline: An instance that starts after a restore has its peers' one
    Given readers a and b that follow the configuration
    When the operator writes configuration 7
    And the configuration store is copied
    And the operator writes configuration 8
    And the configuration store is restored
    And reader c starts and <first>
    Then reader c has configuration 8 in force
    And reader a has put into force 7, 8
    When reader a is gone
    And reader d starts and meets its peers first
    Then reader d has configuration 8 in force

    Examples:
      | first                 |
      | reads the store first |
      | meets its peers first |

  Scenario: An instance alone keeps its configuration over a restore
    Given readers a and b that follow the configuration
    When the operator writes configuration 7
    And the configuration store is copied
    And the operator writes configuration 8
    And reader b is gone
    And the configuration store is restored
    And the operator writes configuration 9
    Then reader a has put into force 7, 8, 9

  # Guards against gossip that holds back what was written after a restore.
  Scenario: An instance cut off from the store learns of it through its peers
    Given readers a and b that follow the configuration
    When the operator writes configuration 7
    And the configuration store is copied
    And the operator writes configuration 8
    And reader b is cut off from its store
    And the configuration store is restored
    And the operator writes configuration 9
    And the operator writes configuration 11
    Then reader b has put into force 7, 8, 9, 11

  # Guards against gossip that keeps an earlier configuration for good: an
  # instance that has not seen it publishes a later one with a lower version.
  Scenario: A configuration of a restored store replaces all earlier in gossip
    Given readers a and b that follow the configuration
    When the operator writes configuration 7
    And the configuration store is copied
    And the operator writes configuration 8
    And the operator writes configuration 9
    And reader b is gone
    And reader a is cut off from its store
    And the configuration store is restored
    And the operator writes configuration 10
    And reader c starts and reads the store first
    Then reader a has put into force 7, 8, 9, 10
    And reader c has put into force 10

  # Guards against an older build that ignores what it reads in the store, since
  # a peer has told it of a version with an era.
  Scenario: What peers are told has versions that builds without eras compare
    Given a configuration store in era 3
    And readers a and b that follow the configuration
    When the operator writes configuration 7
    And the operator writes configuration 8
    Then the configuration is published with the revision of the store

  # Guards against instances that differ for good, and a fault without a trace.
  Scenario: Of two contents with one number the later written is in force
    Given readers a and b that follow the configuration
    When the operator writes configuration 7
    And the operator writes configuration 7 with another content
    Then reader a has put into force 7, 7
    And reader b has the content of reader a
    And each reader has logged event 6011 once

  # Guards against an invalid configuration that hides the next valid one.
  Scenario: A configuration after an invalid one is put into force
    Given readers a and b that follow the configuration
    When the operator writes configuration 7
    And the operator writes an invalid configuration
    And the configuration store is copied
    And the configuration store is restored
    And the operator writes configuration 8
    Then reader a has put into force 7, 8
    And reader b has put into force 7, 8

  # Guards against a change that a list misses or undoes, since it was read page
  # by page while the change was written.
  Scenario Outline: A configuration that changes during a list is in force
    Given readers a and b that follow the configuration
    When the operator writes configuration 7
    And the configuration is written as 8 <when> a list of reader a
    And reader a is told of it <order> the list by its peer
    Then reader a has put into force 7, 8

    Examples:
      | when   | order  |
      | before | before |
      | before | after  |
      | during | before |
      | during | after  |

  # Guards against one that is rejected being taken for the one that follows.
  Scenario: A rejected configuration is logged once, and its correction is taken
    Given readers a and b that follow the configuration
    When the operator writes configuration 7
    And the operator writes an invalid configuration
    And all readers list the store again
    And the operator writes configuration 9
    Then reader a has put into force 7, 9
    And each reader has logged event 6001 once
