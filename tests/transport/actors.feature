Feature: Actors

  # Guards against one odd message that ends an actor, and with it the instance.
  Scenario: An exception in one message does not end the actor
    Given an actor whose next message raises an exception
    When it is told that message and asked another one
    Then it answers and the exception has been logged

  Scenario: The sender that waits for an answer gets the exception
    Given an actor whose next message raises an exception
    When it is asked that message
    Then the exception reaches the sender

  Scenario: Every actor of the package goes on after an exception
    Then all actors of the package are of that kind
