Feature: Calls to the object API

  # Guards against the late answer of a call that timed out being read as the
  # answer of the next call on the same connection.
  Scenario: A late answer of the store is not read by the next call
    Given a store that answers the second of three lists too late
    When three lists are read from it
    Then the second list fails and the others have their own revisions
