Feature: The registration of an instance in the store

  # Guards against an instance that those that start later do not find, since
  # its registration was lost when the store came back from an older copy.
  Scenario: A registration that a restore has lost is written again
    Given a store that was copied before an instance registered itself there
    When the store of registrations is restored
    And the registry is called for 90 seconds
    Then the store has the registration of the instance

  # Guards against writes for nothing after a restore.
  Scenario: A registration that the copy holds is not written again
    Given a store that was copied after an instance registered itself there
    When the store of registrations is restored
    And the registry is called for 90 seconds
    Then the store of registrations was not written

  # Guards against a registration that stays when its instance has stopped.
  Scenario: A registration of the copy is removed at a stop
    Given a store that was copied after an instance registered itself there
    When the store of registrations is restored
    And the registry removes the registration
    Then the store has no registration

  # Guards against a burst of writes that grows with the fleet: the store allows
  # 400 writes a second.
  Scenario: The registrations of a large fleet are written over time
    Given a store that was copied before 830 instances registered themselves
    When the store of registrations is restored
    And the registry is called for 90 seconds
    Then 830 registrations were written again, at most 100 in any second
