Feature: Latency histograms

  Scenario: Two instances merge to what one would have recorded
    Given 1000 latencies recorded by two instances and by a single one
    Then the merged records equal those of the single instance
    And the percentiles are within 1 percent

  Scenario: Latencies outside the range count as the nearest
    Then latencies of -5 and 1e12 microseconds are counted

  Scenario: The series are bounded
    Then 2000 client accounts leave at most 1025 series

  Scenario: A malformed histogram is a typed error
    Then merging arbitrary texts raises the typed error

  Scenario: Metrics go out as datagrams and never block
    Then a declared counter, gauge and timer arrive at a UDP socket
    And metrics without an address send nothing
