Feature: Calls to the product's own endpoints

  # Guards against an answer that an endpoint sent twice being read as the answer
  # of the next call, for load reports carry no id.
  Scenario: A load report is not read from an extra answer
    Given an own endpoint that sends its first load report twice
    When the load is read there twice, the second time a little later
    Then the load reports are those of the first and the second call
