Feature: Evacuations of failure domains reach all instances

  # Guards against an instance that keeps sending to the evacuated domain: by
  # its own choice, by that of a holder, by a retry, or for a peer.
  Scenario Outline: An evacuation takes effect everywhere within the bound
    Given <size> instances that follow the evacuations, and <fault>
    When the operator evacuates fd-01
    Then within 5 seconds no instance sends anything new to fd-01
    And each instance sends to fd-00, fd-02, fd-03
    When the evacuation of fd-01 is withdrawn
    Then within 5 seconds each instance sends to all failure domains

    Examples:
      | size | fault                                              |
      | 8    | no fault                                           |
      | 200  | no fault                                           |
      | 8    | a tenth of the messages lost                       |
      | 200  | a tenth of the messages lost                       |
      | 8    | a store that turns away all but one instance       |
      | 200  | a store that turns away all but one instance       |
      | 200  | a store that turns away the collectors of fd-02    |
      | 8    | a configuration that changes in each tick          |
      | 200  | a configuration that changes in each tick          |

  # Guards against a withdrawn evacuation that an old fact keeps alive.
  Scenario Outline: A late fact of a peer does not undo a withdrawal
    Given <size> instances that follow the evacuations, and no fault
    When the operator evacuates, then withdraws, fd-01
    And a peer publishes the fact of that evacuation again
    And a restarted instance gets that fact before and after it reads the store
    Then after 5 seconds each instance sends to all failure domains

    Examples:
      | size |
      | 8    |
      | 200  |

  Scenario Outline: The last known state is kept while the store is down
    Given <size> instances that follow the evacuations, and no fault
    When the operator evacuates fd-01
    And the store turns away all instances for 60 seconds
    Then no instance sends anything new to fd-01
    When an instance is restarted
    Then within 5 seconds no instance sends anything new to fd-01

    Examples:
      | size |
      | 8    |
      | 200  |

  # A deletion that happened while the store turned everyone away is only
  # visible as an absence in the next list.
  Scenario: A withdrawal during an outage of the store takes effect after it
    Given 8 instances that follow the evacuations, and no fault
    When the operator evacuates fd-01
    And the store turns away all instances for 10 seconds
    And the evacuation of fd-01 is withdrawn and the history is lost
    And the store answers all instances again
    Then within 5 seconds each instance sends to all failure domains

  Scenario: Two evacuated domains leave the load to the others
    Given 8 instances that follow the evacuations, and no fault
    When the operator evacuates fd-01
    And the operator evacuates fd-03
    Then within 5 seconds no instance sends anything new to fd-01, fd-03
    And each instance sends to fd-00, fd-02

  Scenario: When all domains are evacuated the refusal says so at once
    Given 8 instances that follow the evacuations, and no fault
    When the operator evacuates all failure domains
    Then within 5 seconds each instance refuses as not run, with a Retry-After

  Scenario: An endpoint that is listed later in an evacuated domain gets nothing
    Given 8 instances that follow the evacuations, and no fault
    When the operator evacuates fd-01
    And an endpoint starts in fd-01 and one moves there
    Then no instance sends anything new to fd-01

  # Guards against deletion of what runs: the view still counts the request.
  Scenario: A running request in an evacuated domain ends normally
    Given 8 instances that follow the evacuations, and no fault
    When a request runs in fd-01 as the operator evacuates the domain
    Then the request still counts there and its end is recorded

  Scenario Outline: An entry that cannot be used is logged once
    Given 8 instances that follow the evacuations, and no fault
    When an evacuation of <name> with the value <value> is written
    And all instances list the evacuations again
    Then each instance has logged event 6042 once
    And each instance sends to all failure domains

    Examples:
      | name  | value    |
      | fd-99 | {}       |
      | fd-01 | [1]      |
      | fd-01 | "x"      |
      | fd-01 | null     |

  # The state must not depend on which version of an entry an instance saw.
  Scenario: An entry that becomes malformed evacuates nothing
    Given 8 instances that follow the evacuations, and no fault
    When the operator evacuates fd-01
    And an evacuation of fd-01 with the value 5 is written
    Then within 5 seconds each instance sends to all failure domains

  Scenario: Each change is logged once by each instance
    Given 8 instances that follow the evacuations, and no fault
    When the operator evacuates, then withdraws, fd-01
    And all instances list the evacuations again
    Then each instance has logged event 6040 once
    And each instance has logged event 6041 once

  # Guards against callers at an instance that has not read the evacuations,
  # and against one that waits for them forever.
  Scenario: A started instance waits for the evacuations, but not forever
    Given 8 instances that follow the evacuations, and no fault
    When an instance is restarted without store and peers
    Then it accepts callers only after 5 seconds
    When an instance is restarted
    Then it accepts callers within 1 second

  # Guards against endpoints that get requests because a restored store lacks
  # the evacuation until the operator has written it again.
  Scenario Outline: An evacuation that a restore has lost goes on
    Given <size> instances that follow the evacuations, and <fault>
    When the store is copied before the operator evacuates fd-01
    And the store is restored from the copy
    Then for 5 seconds no instance sends anything new to fd-01
    When the operator evacuates fd-01
    Then for 12 seconds no instance sends anything new to fd-01
    When the evacuation of fd-01 is withdrawn
    Then within 5 seconds each instance sends to all failure domains

    Examples:
      | size | fault                                              |
      | 8    | no fault                                           |
      | 8    | a store that turns away all but one instance       |
      | 200  | a tenth of the messages lost                       |

  # Guards against a process that takes the list of a restored store for whole.
  Scenario: A process that starts after a restore keeps a lost evacuation too
    Given 8 instances that follow the evacuations, and no fault
    When the store is copied before the operator evacuates fd-01
    And the store is restored from the copy
    And an instance is restarted and hears its peers after it reads the store
    Then for 5 seconds no instance sends anything new to fd-01
    When the operator evacuates fd-01
    Then for 12 seconds no instance sends anything new to fd-01

  # Guards against an evacuation that lasts for good because it was lost.
  Scenario: An evacuation that is not written again after a restore ends
    Given 8 instances that follow the evacuations, and no fault
    When the store is copied before the operator evacuates fd-01
    And the store is restored from the copy
    Then after 12 seconds each instance sends to all failure domains

  # Guards against a grace time that ends before that of the latest restore.
  Scenario: An evacuation that two restores have lost goes on
    Given 8 instances that follow the evacuations, and no fault
    When the store is copied before the operator evacuates fd-01
    And the store is restored from the copy
    Then for 8 seconds no instance sends anything new to fd-01
    When the store is restored from the copy
    Then for 8 seconds no instance sends anything new to fd-01
    When the operator evacuates fd-01
    Then for 12 seconds no instance sends anything new to fd-01

  # Guards against a withdrawal that waits for the end of the grace time.
  Scenario: A withdrawal soon after a restore takes effect within the bound
    Given 8 instances that follow the evacuations, and no fault
    When the store is copied before the operator evacuates fd-01
    And the store is restored from the copy
    Then for 1 seconds no instance sends anything new to fd-01
    When the operator evacuates fd-01
    Then for 1 seconds no instance sends anything new to fd-01
    When the evacuation of fd-01 is withdrawn
    Then within 5 seconds each instance sends to all failure domains
