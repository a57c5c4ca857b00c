Feature: Server for requests that are passed on

  Scenario: Threads are added for requests that wait
    Given a front whose answers wait for each other, with 32 threads at most
    When 24 requests are sent at once
    Then all of them are answered together
    And the front has at least 24 threads and at most 32
