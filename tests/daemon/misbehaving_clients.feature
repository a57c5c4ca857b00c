Feature: Clients that misbehave leave an entry daemon alive

  # Guards against a process that runs out of memory: each connection had a
  # limit, and nothing bounded all of them together (issue 52).
  Scenario Outline: A crowd stays within the memory of an entry daemon
    Given an entry daemon with the default limits on memory
    When <count> clients send <what> of <kib> KiB to it and stay
    Then the process lives and has held at most 256 MiB
    And a lookup is answered by it

    Examples:
      | count | kib  | what                          |
      | 1000  | 256  | bodies a byte short           |
      | 1000  | 256  | whole bodies                  |
      | 200   | 2048 | bodies a byte short in pieces |
      | 200   | 2048 | large chunks without an end   |
      | 40    | 256  | chunks of a byte without an end |
      | 20    | 1024 | an announced length of 8 GiB  |
      | 20    | 1024 | chunks far over the limit     |
      | 1000  | 256  | heads without an end          |

  # Guards against a daemon that accepts no further connection (issue 52).
  Scenario Outline: Connections left open shut out no caller of an entry daemon
    Given an entry daemon with the default limits on memory
    When 1500 clients send <what> of 256 KiB to it and stay
    Then the process lives and has held at most 256 MiB
    And a lookup is answered by it

    Examples:
      | what                |
      | bodies hardly begun |
      | nothing             |

  # Guards against a legal request that is refused on an idle daemon.
  Scenario Outline: A single body of the largest size is served by an entry daemon
    Given an entry daemon with the default limits on memory
    When a lookup of 262144 bytes is sent to it <how>
    Then it is answered with 200

    Examples:
      | how                   |
      | with its length       |
      | as one chunk          |
      | in chunks of 1 bytes  |
      | after an interim answer |

  # Guards against a refusal that its caller never sees.
  Scenario Outline: An entry daemon's refusal of a long body reaches its caller
    Given an entry daemon with the default limits on memory
    When a lookup of <size> bytes is sent to it <how>
    Then it is answered with 413

    Examples:
      | size    | how                     |
      | 262145  | with its length         |
      | 262145  | as one chunk            |
      | 4194304 | with its length         |
      | 4194304 | in chunks of 4096 bytes |
