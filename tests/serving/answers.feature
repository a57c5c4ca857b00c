Feature: Memory for answers that are not complete

  # Guards against incomplete events of many streams that together take more
  # memory than the instance has: an endpoint may send an event without end.
  Scenario: Events without end share a bounded memory
    Given 400 streams whose endpoints send an event without end
    When each of them has sent 960 KiB
    Then the instance holds at most 48 MiB
    And a whole answer of 60 KiB is read

  # Guards against slow bytes without end that take the processor's time, since
  # all of them are searched again for each that arrives.
  Scenario: An event without end that comes bit by bit takes little time
    Given 1 streams whose endpoints send an event without end
    When each of them has sent 900 KiB, 100 bytes at a time
    Then less than 4 seconds of the processor were taken

  Scenario: A large event is delivered and gives its memory back
    Given 1 streams whose endpoints send an event of 900 KiB
    When each of them has sent its event
    Then its caller got the whole event
    And the instance holds nothing

  Scenario: A stream that breaks off gives its memory back
    Given 1 streams whose endpoints send an event without end
    When each of them has sent 960 KiB
    And another endpoint answers instead
    Then the instance holds nothing
