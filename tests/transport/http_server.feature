Feature: HTTP server for forwarded requests

  Scenario: Threads are added for requests that wait
    Given a server whose responses wait for each other, with at most 32 threads
    When 24 requests are sent at once
    Then all of them are answered together
    And the server has at least 24 threads and at most 32

  # Regression: a stopping instance closed the connection of a caller that had
  # connected, but on a busy machine sent nothing for a quarter of a second.

  Scenario Outline: A caller that has just connected is awaited
    Given a server with a connection opened <opened> seconds ago that <sent>
    When the server closes its idle connections
    Then the connection is <kept>
    And the server is <quiet>

    Examples:
      | opened | sent                       | kept   | quiet     |
      | 0.5    | has sent nothing           | kept   | not quiet |
      | 2.5    | has sent nothing           | closed | quiet     |
      | 0.5    | was last used 0.3 s ago    | closed | quiet     |
      | 0.5    | was last used 0.1 s ago    | closed | not quiet |

  # Guards against a caller that is cut off between the head and the body of
  # its request.
  Scenario: A caller that has sent a part of a request is awaited
    Given a server with a connection that has sent a part of a request
    When the server closes its idle connections
    Then the connection is kept
    And the server is not quiet

  Scenario: A listener is closed when the server's thread has closed it
    Given a server whose thread is busy, with 3 connections to accept
    When the server is asked to stop accepting connections
    Then the listener is not reported as closed
    When the thread of the server is free again
    Then all 3 connections are accepted and the listener is closed

  # Guards against connections that were reset, since they were established
  # between the last accept and the close of the listener.
  Scenario: A listener that is closed resets no connection
    Given a server with a caller's connection that ignores further ones
    When another caller connects just before the listener is closed
    Then the connection is not established
    And the first caller is answered and finds no listener any more

  # Guards against a broken-off response that looks complete: without chunks,
  # the close of the connection is the only end that the caller sees.
  Scenario Outline: A response that breaks off never looks complete
    Given a server whose response breaks off after its first event
    When a caller reads it with HTTP/<version>
    Then the response ends with <end>

    Examples:
      | version | end                             |
      | 1.0     | a reset of the connection       |
      | 1.1     | a close without the last chunk  |

  # Guards against an error in the server's thread when a caller resets its
  # connection while the end of its last answer waits to be sent.
  Scenario: A reset during the last answer ends the connection without an error
    Given a server with a caller that reads nothing of its last answer
    When the caller resets its connection
    Then the server closes the connection and logs no error

  # Guards against a stop that ends early with an error, because a connection
  # closes while the daemon looks whether its connections are idle.
  Scenario: A connection that closes while it is looked at counts as idle
    Given a server with a connection that closes after it was listed
    Then the listed connections are quiet

  # Guards against an error of a socket that is no longer there in place of the
  # log line that names a caller which has left.
  Scenario: A caller that leaves a response without framing causes no error
    Given a server whose caller resets a response without framing
    When the response goes on
    Then the server closes the connection and logs no error

  # Guards against an error that ends the server's thread, and so the answers
  # of all callers, where a request's thread has closed a connection before.
  Scenario: A connection that closes before it is ended causes no error
    Given a server with a connection that closes after it was listed
    When the listed connections are ended
    Then the listed connections are quiet

  # Guards against a reset that destroys an answer which has arrived, but is
  # not yet read, because the caller sends a request while its connection ends.
  Scenario Outline: A request sent while an idle connection ends cuts no answer
    Given a server with a caller that has not yet read its whole answer
    When the caller sends another request <when>
    Then it reads its whole answer, and then <end>

    Examples:
      | when                                          | end                       |
      | in parts as its idle connection is closed     | the end of the connection |
      | in parts as the close has arrived             | the end of the connection |
      | 0.5 seconds after its connection began to end | the end or a reset of it  |

  # Guards against a stop that lasts until the end of its grace time because
  # the machine of a caller is gone and never acknowledges the close.
  Scenario: A caller that is cut off does not hold its idle connection
    Given a server with a caller that has not yet read its whole answer
    When the caller is cut off and its idle connection is closed
    Then the connection is gone within 4 seconds
