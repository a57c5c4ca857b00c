Feature: Clients that misbehave leave an instance on the platform alive

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
