Feature: Events of a stream over several endpoints

  Scenario: Only whole events are given out
    Given an event stream
    When the bytes "id: 1|data: a||id: 2|da" arrive
    Then the bytes "id: 1|data: a||" are given out
    When the bytes "ta: b||" arrive
    Then the bytes "id: 2|data: b||" are given out

  Scenario: Another endpoint goes on after the last whole event
    Given an event stream
    When the bytes "id: 1|data: a||id: 2|da" arrive
    And another endpoint goes on
    And the bytes "id: 2|data: b||id: 3|data: c||" arrive
    Then the bytes "id: 2|data: b||id: 3|data: c||" are given out

  Scenario: No event is given out twice
    Given an event stream
    When the bytes "id: 1|data: a||id: 2|data: b||" arrive
    And another endpoint goes on
    And the bytes "id: 2|data: b||id: 3|data: c||" arrive
    Then the bytes "id: 3|data: c||" are given out

  Scenario: A gap is never passed over
    Given an event stream
    When the bytes "id: 1|data: a||id: 3|data: c||" arrive
    Then the stream is crossed

  Scenario: A caller that has events already gets the next ones
    Given an event stream after event 7
    When the bytes "id: 8|data: x||" arrive
    Then the bytes "id: 8|data: x||" are given out

  Scenario: An event without an end is not waited for without bound
    Given an event stream
    When a megabyte without an end arrives
    Then the stream is crossed
