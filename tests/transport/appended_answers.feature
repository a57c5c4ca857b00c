Feature: A second answer behind a body that the close ends

  # Guards against a second answer that reaches the caller as part of the body
  # because of where the reads cut it.
  Scenario: A second answer is found however the reads cut it
    When bodies and a second answer are read in any parts
    Then each body is read to its end and then the second answer is a fault

  # Guards against bodies that are changed or refused because they mention heads.
  Scenario: A body that mentions heads is read unchanged
    When bodies that mention other heads are read in any parts
    Then each body is read to its end without a fault
