Feature: Shares of a service's versions by its endpoints and its moves

  Scenario Outline: The version of a move gets the share of the move
    Given the shares of a service with the endpoints <endpoints>
    When the moves <moves> are known in this order
    Then the service's versions have the shares <shares>

    Examples:
      | endpoints                 | moves            | shares                         |
      | {"v1": 3, "v2": 1}        | none             | {"v1": 0.75, "v2": 0.25}       |
      | {"v1": 3, "v2": 1}        | v1 v2 0          | {"v1": 1.0, "v2": 0.0}         |
      | {"v1": 3, "v2": 1}        | v1 v2 0.2        | {"v1": 0.8, "v2": 0.2}         |
      | {"v0": 1, "v1": 3, "v2": 4} | v1 v2 0.2      | {"v0": 0.2, "v1": 0.6, "v2": 0.2} |
      | {"v1": 4, "v2": 4}        | v1 v2 1          | {"v1": 0.0, "v2": 1.0}         |
      | {"v2": 4}                 | v1 v2 0          | {"v2": 1.0}                    |
      | {"v1": 4}                 | v1 v2 1          | {"v1": 1.0}                    |
      | {"v1": 2, "v2": 2, "v3": 2} | v1 v2 0, v1 v3 0.1 | {"v1": 0.9, "v2": 0.0, "v3": 0.1} |
      | {"v2": 2, "v3": 2}        | v1 v2 1, v2 v3 0 | {"v2": 1.0, "v3": 0.0}         |
      | {"v2": 2, "v3": 2}        | v1 v2 0, v1 v3 0 | {"v2": 0.0, "v3": 1.0}         |
      | {"v2": 3, "v3": 1}        | v1 v2 1          | {"v2": 0.75, "v3": 0.25}       |

  Scenario Outline: Endpoints of an unused version are no room
    Given the shares of a service with the endpoints {"v1": 4, "v2": 4}
    When the moves v1 v2 <share> are known in this order
    Then the endpoints of <versions> are no room

    Examples:
      | share | versions |
      | 0     | v2       |
      | 0.1   | v2       |
      | 0.5   | none     |
      | 0.9   | v1       |

  # Guards against a version under trial that gets repeats, or the requests of
  # a prompt that its endpoint has cached, beyond its share.
  Scenario Outline: Requests of every kind keep to the shares
    Given a dispatcher with e1 of v1 and e2 of v2, which has a share of 0
    When 50 requests <kind> are placed
    Then all of them are placed at e1

    Examples:
      | kind                          |
      | of callers                    |
      | of peers                      |
      | with a prompt cached at e2    |
      | that another instance sent to e2 |

  Scenario: A failed attempt at the version under trial is repeated at the old one
    Given a dispatcher with e1 of v1 and e2 of v2, which has a share of 0.4
    When 50 requests fail at the endpoint that each was sent to
    Then the repeats of those that failed at e2 are placed at e1

  # Guards against a version that is used before its order can be known.
  Scenario: A new version waits for the orders as of its entry
    Given a fleet watcher that holds back new versions
    When e2 is listed with version v2 at revision 20
    Then version v2 gets no requests
    When the orders are known as of revision 19
    Then version v2 gets no requests
    When the orders are known as of revision 20
    Then versions v1 and v2 get requests

  # Guards against an instance that starts during a move and gives the new
  # version its share of the endpoints until it has read the order.
  Scenario: The younger version at the start waits for the orders too
    Given a fleet watcher that starts with e1 of v1 and a younger e2 of v2
    Then version v2 gets no requests
    When the orders are known as of revision 10
    Then versions v1 and v2 get requests

  Scenario: A new version doesn't wait for orders that cannot be read
    Given a fleet watcher that holds back new versions
    When e2 is listed with version v2 at revision 20
    And 4 seconds pass without the orders
    Then versions v1 and v2 get requests

  Scenario: An endpoint that replaces one of its version is used at once
    Given a fleet watcher that holds back new versions
    When e2 is listed with version v1 at revision 20
    Then nothing is held back
    When e1 is replaced by e3 of version v2
    And e2 leaves too
    Then version v2 gets all requests
