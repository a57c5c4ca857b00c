Feature: Clients that misbehave leave an instance on the platform alive

  # Guards against a process that runs out of memory: each connection had a
  # limit, and nothing bounded all of them together (issue 52).
  Scenario Outline: A crowd stays within the memory of the instance
    Given an instance with 160 MiB of memory and 4100 descriptors
    And its callers may send bodies of 1 MiB
    When <count> clients send <what> to its port for <server> and stay
    Then the process lives and has held at most 160 MiB
    And it has had at most 4100 descriptors
    And an ordinary request and a readiness check are answered

    Examples: callers
      | count | server  | what                                         |
      | 200   | callers | bodies a byte short                          |
      | 200   | callers | bodies a byte short in pieces                |
      | 200   | callers | bodies a byte short after an interim answer  |
      | 200   | callers | whole bodies                                 |
      | 200   | callers | large chunks without an end                  |
      | 60    | callers | chunks of a byte without an end              |
      | 20    | callers | an announced length of 8 GiB                 |
      | 20    | callers | chunks far over the limit                    |
      | 200   | callers | a chunk's length without an end              |
      | 200   | callers | a trailer without an end                     |
      | 1000  | callers | heads without an end                         |

    Examples: peers and pages
      | count | server   | what                            |
      | 200   | peers    | bodies a byte short             |
      | 200   | peers    | whole bodies                    |
      | 200   | peers    | large chunks without an end     |
      | 20    | peers    | an announced length of 8 GiB    |
      | 20    | peers    | chunks far over the limit       |
      | 1000  | peers    | heads without an end            |
      | 90    | checks   | bodies a byte short             |
      | 20    | checks   | an announced length of 8 GiB    |
      | 20    | checks   | chunks far over the limit       |
      | 90    | pages    | large chunks without an end     |
      | 20    | pages    | an announced length of 8 GiB    |
      | 200   | messages | frames a byte short             |

    Examples: answers
      | count | server   | what                                     |
      | 200   | callers  | requests whose answers they do not read  |
      | 100   | metrics  | requests whose answers they do not read  |
      | 100   | peers    | requests whose answers they do not read  |

  # Guards against an instance that accepts no further connection (issue 52).
  Scenario Outline: Connections that are left open shut out no ordinary caller
    Given an instance with 160 MiB of memory and 600 descriptors
    And its callers may send bodies of 1 MiB
    When 700 clients send <what> to its port for <server> and stay
    Then the process lives and has held at most 160 MiB
    And it has had at most 600 descriptors
    And an ordinary request and a readiness check are answered

    Examples:
      | server   | what                |
      | callers  | bodies hardly begun |
      | callers  | nothing             |
      | peers    | bodies hardly begun |
      | checks   | bodies hardly begun |
      | pages    | nothing             |
      | messages | nothing             |

  # Guards against a legal request that is refused on an idle instance.
  Scenario Outline: A single request inside the limits is served in calm
    Given an instance with 160 MiB of memory and 4100 descriptors
    And its callers may send bodies of 1 MiB
    When a client sends a body of <size> bytes <how>
    Then the request is answered by an endpoint that got the same body

    Examples:
      | size    | how                              |
      | 0       | with its length                  |
      | 1048575 | with its length                  |
      | 1048576 | with its length                  |
      | 1048576 | as one chunk                     |
      | 1048576 | in chunks of 64 bytes            |
      | 524288  | in chunks of 1 bytes             |
      | 1048576 | in chunks of 524288 bytes        |
      | 1048576 | after an interim answer          |
      | 1048576 | in chunks after an interim answer |

  # Guards against a refusal that its caller never sees, as the connection is
  # reset while the body is still being sent.
  Scenario Outline: The refusal of a body over the limit reaches its caller
    Given an instance with 160 MiB of memory and 4100 descriptors
    And its callers may send bodies of 1 MiB
    When a client sends a body of <size> bytes <how>
    Then the request is answered with 413
    And no endpoint got a request

    Examples:
      | size    | how                     |
      | 1048577 | with its length         |
      | 1048577 | as one chunk            |
      | 4194304 | with its length         |
      | 4194304 | in chunks of 4096 bytes |
      | 1048577 | after an interim answer |
