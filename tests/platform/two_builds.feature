Feature: Two builds serve side by side, as processes

  # Guards against a message or stored entry of one build that the other one
  # rejects, in a rolling replacement and in a rollback. From 16 instances on
  # collectors charge and place the requests of others.
  Scenario Outline: A fleet is replaced step by step, with a kill in between
    Given 16 instances of the <first> build
    Then each instance answers 4 requests
    And the instances of the new build agree on level 1
    When half of them are replaced by the <second> build, the first by a kill
    Then each instance answers 4 requests
    And the instances of the new build agree on level 0
    When an instance of each build is killed and started again
    Then each instance answers 4 requests
    When the rest are replaced by the <second> build
    Then each instance answers 4 requests
    And the instances of the new build agree on level 1
    And no instance has rejected a message of another as malformed

    Examples:
      | first | second |
      | old   | new    |
      | new   | old    |
