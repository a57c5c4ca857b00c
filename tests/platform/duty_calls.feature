Feature: Calls that only the holder of the duties may make

  # Guards against a call that reaches the platform after the next holder's
  # because its bytes stay in the socket's buffer after it was given up.
  Scenario: A duty call that is given up resets its connection
    Given a duty client whose platform does not answer
    When a duty call is made
    Then its outcome is unknown and its connection was reset

  # Guards against a call that lasts until another instance may act: the times
  # to connect and to answer are limited one by one.
  Scenario: Connecting and the answer share the time of a duty call
    Given a duty client whose platform does not answer
    And connecting takes 0.9 seconds
    When a duty call is made
    Then the duty call has ended within its timeout

  # Guards against a call by an instance that lost the lease between the check
  # of the lease and the send.
  Scenario Outline: A duty call is not sent once the lease is lost
    Given a duty client whose platform <answers>
    And the lease is lost while the duty client <does>
    When a duty call is made
    Then the duty call was withheld and the platform received nothing of it

    Examples:
      | answers         | does                       |
      | does not answer | connects                   |
      | answers         | waits between two calls    |

  # Guards against duties that nobody performs any more after a restore, and
  # against a token that falls, in the whole program. The copy was made before
  # the lease was acquired.
  Scenario: The program performs its duties again after the store was restored
    Given an instance with the duty of usage reports and a copy of its new store
    When it has reported the usage and the store is restored from that copy
    Then it reports again with a higher token within 10 seconds
    And it made no call from 2.5 to 4 seconds after the restore
