Feature: Messages between peers over sockets

  Scenario: A call returns what the handler returned
    Given a peer server and a peer client with one key
    Then a call of "echo" returns the bytes that the handler made
    And a call of a topic without a handler has certainly not run
    And a call whose handler fails has an unknown outcome
    And the payloads of calls are not counted as control traffic

  Scenario: A client with another key is refused
    Given a peer server and a peer client with another key
    Then a call of "echo" fails with an unknown outcome
    And the handler was run 0 times

  Scenario: An envelope that is sent again runs once
    Given a peer server and a peer client with one key
    When one signed call is sent twice on two connections
    Then the second answer is a refusal as "replayed"
    And the handler was run 1 time

  Scenario: An envelope that was changed on its way does not run
    Given a peer server and a peer client with one key
    When a signed call is sent with another payload
    Then the answer is a refusal as "signature" without a signature
    And the handler was run 0 times

  Scenario: An envelope for another peer does not run
    Given a peer server and a peer client with one key
    When a signed call for another address is sent
    Then the answer is a refusal as "recipient"
    And the handler was run 0 times

  Scenario: An answer to another request is not taken
    Given a peer that replies to another request
    Then a call of "echo" fails with an unknown outcome

  Scenario: An exchange leaves a silent connection for a fresh one
    Given a peer that goes silent on its first connection after one answer
    When an exchange has been answered on the first connection
    Then the next exchange is answered on a second connection

  Scenario: A call on a silent connection is not sent again
    Given a peer that goes silent on its first connection after one answer
    When an exchange has been answered on the first connection
    Then a call of "echo" fails with an unknown outcome
    And the silent peer has accepted 1 connection

  Scenario: A peer that does not listen has not run anything
    Given a peer client and an address without a listener
    Then a call of "echo" has certainly not run

  Scenario: Bytes that are no message close the connection only
    Given a peer server and a peer client with one key
    When bytes that are not a message and a frame of two gigabytes are sent
    Then a call of "echo" returns the bytes that the handler made

  Scenario: A peer server holds a bounded number of connections
    Given a peer server for 2 connections
    When 2 connections are open
    Then a third connection is closed by the server

  # Guards against memory that is never counted as free again: the next
  # message of a connection was counted before the last one was released.
  Scenario: A message is released before its connection is read again
    Given a peer that replies and tells what it holds when it reads again
    When 3 messages are sent to it on one connection
    Then it held nothing each time

  Scenario: A short peer key is refused
    Then a key file of 8 bytes is refused and one of 32 bytes is read

  Scenario: Three nodes find each other and spread a document
    Given 3 gossip nodes that know the first one
    Then all gossip nodes know each other
    And a document published at one node reaches all nodes
    And a large document published at one node reaches all nodes
    And a call from the last node to the first is answered
    And a call to an unknown member has certainly not run
    And a subscriber that fails does not stop the node
    When the last gossip node leaves
    Then the other gossip nodes record the member as left
