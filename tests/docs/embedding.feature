Feature: Embedding

  Scenario: The example claims a booking without the daemons
    Then examples/embedding.py prints the last two lines of docs/booking.md
