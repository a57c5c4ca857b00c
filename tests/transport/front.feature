Feature: Server for requests that are passed on

  Scenario: Threads are added for requests that wait
    Given a front whose answers wait for each other, with 32 threads at most
    When 24 requests are sent at once
    Then all of them are answered together
    And the front has at least 24 threads and at most 32

  # Regression: a stop closed the connection of a caller that a busy machine
  # kept from sending for a quarter of a second.

  Scenario Outline: A caller that has just connected is awaited
    Given a front with a connection opened <opened> seconds ago that <sent>
    When the front closes idle connections
    Then the connection is <kept>
    And the front is <quiet>

    Examples:
      | opened | sent                       | kept   | quiet     |
      | 0.5    | has sent nothing           | kept   | not quiet |
      | 2.5    | has sent nothing           | closed | quiet     |
      | 0.5    | was last used 0.3 s ago    | closed | quiet     |
      | 0.5    | was last used 0.1 s ago    | closed | not quiet |

  Scenario: A listener is closed when the server's thread has closed it
    Given a front whose thread is busy, with 3 connections to accept
    When the front is told to stop accepting
    Then the listener is not known to be closed
    When the thread of the front is free again
    Then all 3 connections are accepted and the listener is closed
