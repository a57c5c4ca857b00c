Feature: Processes of the tools

  # Guards against a process that does not start because two of its ports are
  # the same.
  Scenario: Free ports that are found together differ
    When 1000 free ports are found together
    Then the free ports all differ
