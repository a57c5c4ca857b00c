Feature: Active document

  Scenario Outline: Only a higher version of a good document comes into force
    Given version 5 of a document is active
    When version <version> of a <kind> document is offered
    Then the offer is <outcome> and version <left> is active

    Examples:
      | version | kind | outcome  | left |
      | 6       | good | Applied  | 6    |
      | 5       | good | Stale    | 5    |
      | 4       | good | Stale    | 5    |
      | 9       | bad  | Rejected | 5    |
      | 4       | bad  | Stale    | 5    |

  Scenario: A bad document is reported once and replaced by the next good one
    Given version 5 of a document is active
    When version 6 of a bad document is offered
    And version 6 of a bad document is offered
    Then the rejection is marked as repeated
    When version 7 of a good document is offered
    Then the offer is Applied and version 7 is active

  Scenario: A peer's higher version shows that an instance is behind
    Given version 5 of a document is active
    Then an instance whose peers report versions 6 and 4 is behind until 6

  Scenario: No order, loss or repetition of offers reverts a document
    Then after any offers the highest good version is active

  # Guards against a configuration that comes back older: after a restore of the
  # store earlier numbers have later versions, and peers offer them in any order.
  Scenario: No order of offers and restores makes a document's number fall
    Then after any offers of numbered documents the number has never fallen

  # Guards against gossip that holds a later configuration back: an instance
  # that has missed an earlier one publishes both with the same version.
  Scenario: A later number is published above what other instances publish
    Given instances whose active document has number 8, as of revision 60
    When the store is restored at revision 45
    And one instance applies numbers 9 and 10, and another only number 10
    Then each published version of number 10 is above that of number 9

  # Guards against gossip that keeps an earlier configuration for good, since an
  # instance that knows a later one has published it with a lower version.
  Scenario Outline: A later number is published again above an earlier one
    Given instances whose active document has number 8, as of revision 60
    When a peer publishes number <number> with version <version>
    Then the offer is <outcome> with published version <published>

    Examples:
      | number | version | outcome     | published |
      | 7      | 75      | Republished | 76        |
      | 7      | 60      | Republished | 61        |
      | 7      | 59      | Stale       | 60        |
      | 8      | 75      | Stale       | 60        |
      | 9      | 40      | Applied     | 40        |

  # Guards against versions that rise by far more than is needed, and that
  # differ between the instances which publish the same document again.
  Scenario: A number is published again just above the earlier one
    Given instances whose active document has number 8, as of revision 60
    When a peer publishes number 8 with version 90
    And a peer publishes number 7 with version 75
    Then the offer is Republished with published version 76
