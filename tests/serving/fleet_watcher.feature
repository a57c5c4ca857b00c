Feature: Following the list of endpoints and copying it from a peer

  Scenario: An endpoint that leaves is told to the peers once
    Given a fleet watcher that has listed e1 and e2
    When the entry of e1 says that it is leaving, twice
    Then it is published once that e1 is leaving
    And only e2 accepts requests

  Scenario: An endpoint whose entry is gone is told to the peers
    Given a fleet watcher that has listed e1 and e2
    When the entry of e1 is deleted
    Then it is published once that e1 is gone
    And only e2 accepts requests

  Scenario: What a peer saw leave gets no work here either
    Given a fleet watcher that has listed e1 and e2
    When a peer publishes that e1 is leaving
    Then only e2 accepts requests

  Scenario: A gone endpoint that is listed again takes work again
    Given a fleet watcher that has listed e1 and e2
    When a peer publishes that e1 is gone
    Then only e2 accepts requests
    When the list is read again
    Then e1 and e2 accept requests

  Scenario: What a peer saw go is not used while the own list is behind
    Given a fleet watcher that has listed e1 and e2
    When a peer publishes that e1 is gone
    And another entry changes
    And 5 seconds pass at the fleet watcher
    Then only e2 accepts requests

  Scenario: What a peer saw go is not used while its entry is only kept
    Given a fleet watcher that has listed e1 and e2
    When the store returns from an outage and the entry of e1 is deleted
    Then e1 and e2 accept requests
    When a peer publishes that e1 is gone
    And another entry changes
    Then only e2 accepts requests

  Scenario: A kept entry is dropped well before its endpoint must be left
    Given a fleet watcher that has listed e1 and e2
    When the store returns from an outage and the entry of e1 is deleted
    And 1.75 seconds pass at the fleet watcher
    Then only e2 accepts requests

  # Guards against logs that tell an endpoint's removal from the list and not
  # when it was out of use, nor who told of it.
  Scenario: It is logged until when an endpoint is kept and when it is dropped
    Given a fleet watcher that has listed e1 and e2
    When the lines of the fleet watcher are recorded
    And the store returns from an outage and the entry of e1 is deleted
    And another entry changes
    Then the lines on e1 are: kept
    When 1.75 seconds pass at the fleet watcher
    Then the lines on e1 are: kept, removed
    When a peer publishes that e1 is gone
    Then the lines on e1 are: kept, removed, told

  Scenario: It is logged when an endpoint is dropped at once
    Given a fleet watcher that has listed e1 and e2
    When the lines of the fleet watcher are recorded
    And the entry of e1 is deleted
    Then the lines on e1 are: removed

  Scenario: An instance that the store turns away borrows the list
    Given a fleet watcher that has listed e1 and e2
    And an instance that cannot read the store
    When that instance calls its peer
    Then it knows e1 and e2
    And it does not call its peer again

  # Guards against instances that do not learn, or learn too late from the
  # logs, why an endpoint gets few requests.
  Scenario: It is logged once when an endpoint is known as cold and as warm
    Given a fleet watcher that has listed e1 and e2
    When the entry of e1 says that it is cold for 3000, 1800 and 600 ms
    Then e1 is limited as a cold endpoint and e2 is not
    And it is logged once that e1 is cold
    When 1 seconds pass at the fleet watcher
    Then e1 is not limited as a cold endpoint
    And it is logged once that e1 is warm

  # Guards against an instance that borrows the list and takes a cold endpoint
  # for a warm one.
  Scenario: A borrowed list tells which endpoints are cold
    Given a fleet watcher that has listed e1 and e2
    And an instance that cannot read the store
    When the entry of e1 says that it is cold for 3000, 1800 and 1500 ms
    And that instance calls its peer
    Then e1 is known as cold there too

  # Guards against lines by which the requests of a version cannot be counted.
  Scenario: The line of a changed endpoint names its version
    Given a fleet watcher that has listed e1 and e2
    When e1 is listed with version v2
    Then the line of its change names version v2

  # Guards against a mark that is lost because the answer arrives while the
  # entry is away for a moment, as in a gap of the store.
  Scenario: An endpoint that says it leaves while its entry is away stays away
    Given a fleet watcher that has listed e1 and e2
    When the entry of e1 is deleted
    And two answers of e1 say that it leaves
    And the list is read again
    Then only e2 accepts requests
    And its peers are told once that e1 said it leaves

  # Guards against a copy of the store that undoes, in what peers copy and what
  # orders count, that an endpoint leaves.
  Scenario: An endpoint that leaves is listed as leaving after a restore
    Given a fleet watcher that has listed e1 and e2 in era 1
    And an instance that cannot read the store
    When the entry of e1 says that it is leaving, twice
    And the store comes back from a copy in which both are ready
    Then only e2 accepts requests
    And its listing of e1 says that it is leaving
    When that instance calls its peer
    Then that instance sends requests to e2 only

  # Guards against requests to an endpoint that was gone, which a copy of the
  # store still lists as ready.
  Scenario: An endpoint that was gone stays gone after a restore
    Given a fleet watcher that has listed e1 and e2 in era 1
    When the entry of e1 is deleted
    And the store comes back from a copy in which both are ready
    Then only e2 accepts requests
    And it lists only e2
    When another entry changes
    And 5 seconds pass at the fleet watcher
    Then only e2 accepts requests

  # Guards against the loss of an endpoint whose entry had only lapsed: it
  # writes its entry again, and that without a change to it.
  Scenario Outline: An endpoint that was gone is back once its entry is written
    Given a fleet watcher that has listed e1 and e2 in era 1
    When the entry of e1 is deleted
    And the store comes back from a copy in which both are ready
    And <proof>
    Then e1 and e2 accept requests

    Examples:
      | proof                                   |
      | the entry of e1 is written again        |
      | the store is in contact for 10 seconds  |

  # Guards against a copied entry that is taken for a lasting one by an instance
  # that cannot read its removal.
  Scenario: An endpoint that was gone stays gone while the store is away
    Given a fleet watcher that has listed e1 and e2 in era 1
    When the entry of e1 is deleted
    And the store comes back from a copy in which both are ready
    And 60 seconds pass at the fleet watcher
    Then only e2 accepts requests

  # Guards against requests to an endpoint that only a peer has seen go, before
  # the restore.
  Scenario: What a peer saw go stays gone after a restore
    Given a fleet watcher that has listed e1 and e2 in era 1
    When a peer publishes that e1 is gone
    And the store comes back from a copy in which both are ready
    Then only e2 accepts requests
    When the store is in contact for 10 seconds
    Then e1 and e2 accept requests

  # Guards against an endpoint that the copy hides behind the entry of an
  # earlier process of the same id.
  Scenario: An earlier process of an endpoint is not used after a restore
    Given a fleet watcher that has listed e1 and e2 in era 1
    When e1 starts again as another process
    And the store has recovered from an outage
    And the store comes back from a copy in which both are ready
    Then the e1 that started last and e2 are listed

  # Guards against an instance that hears of an endpoint's end before it knows
  # the endpoint, and then uses it by the older list of a peer.
  Scenario: What a peer saw go before it was known is not used
    Given a fleet watcher that has listed e1 and e2
    And an instance that cannot read the store
    When that instance hears from a peer that e1 is gone
    And that instance calls its peer
    Then that instance sends requests to e2 only
    When that instance reads the list in the store
    Then it knows e1 and e2

  # Guards against any order of leaving answers, entries, facts of peers,
  # restores and restarts after which an endpoint that has left is used again.
  Scenario: No order of events brings back an endpoint that has left
    Then in 150 random events at 8 instances, none uses an endpoint that it knows to have left, with seeds 0 to 19
    And after them all instances use the endpoints that stay

  # Guards against the loss of an endpoint whose entry had only lapsed, where the
  # report of a peer arrives after the entry is back.
  Scenario: An endpoint whose entry lasts is used although a peer saw it go
    Given a fleet watcher that has listed e1 and e2
    When a peer publishes that e1 is gone
    And the store is in contact for 9 seconds
    Then only e2 accepts requests
    When the store is in contact for 1 seconds
    Then e1 and e2 accept requests
