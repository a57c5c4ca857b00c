Feature: Embedding

  Scenario: The example claims a booking without the daemons
    Then examples/embedding.py prints what docs/booking.md says
