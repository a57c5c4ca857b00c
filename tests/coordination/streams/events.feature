Feature: Events of a stream from several endpoints

  Scenario: Only whole events are given out
    Given an event stream
    When the bytes "id: 1|data: a||id: 2|da" arrive
    Then the bytes "id: 1|data: a||" are returned
    When the bytes "ta: b||" arrive
    Then the bytes "id: 2|data: b||" are returned

  Scenario: Another endpoint goes on after the last whole event
    Given an event stream
    When the bytes "id: 1|data: a||id: 2|da" arrive
    And another endpoint resumes the stream
    And the bytes "id: 2|data: b||id: 3|data: c||" arrive
    Then the bytes "id: 2|data: b||id: 3|data: c||" are returned

  Scenario: No event is given out twice
    Given an event stream
    When the bytes "id: 1|data: a||id: 2|data: b||" arrive
    And another endpoint resumes the stream
    And the bytes "id: 2|data: b||id: 3|data: c||" arrive
    Then the bytes "id: 3|data: c||" are returned

  Scenario: A gap is never passed over
    Given an event stream
    When the bytes "id: 1|data: a||id: 3|data: c||" arrive
    Then the stream has a sequence fault

  Scenario: A caller that has events already gets the next ones
    Given an event stream after event 7
    When the bytes "id: 8|data: x||" arrive
    Then the bytes "id: 8|data: x||" are returned

  Scenario: An event without an end is not waited for without bound
    Given an event stream
    When more than a megabyte arrives without an event end
    Then the stream has a sequence fault

  Scenario Outline: What tells the caller nothing new is no event
    Given an event stream
    When the bytes "<bytes>" arrive
    Then <count> events have been returned

    Examples:
      | bytes                                | count |
      | : wait\|\|                           | 0     |
      | retry: 1000\|\|                      | 0     |
      | \|\|                                 | 0     |
      | data: a\|\|data: b\|\|: wait\|\|     | 2     |
      | : wait\|id: 1\|data: a\|\|           | 1     |
      | id: 1\|data: a\|\|id: 1\|data: a\|\| | 1     |
