Feature: Facts

  Scenario: A fact table keeps the higher version
    Given a fact table
    When version 2 and then version 1 of a verdict are merged
    Then the fact table holds version 2 of the verdict
    And the subscriber of verdicts received version 2 only

  Scenario: Merging facts gives one result in any order and never goes back
    Then merging facts is commutative, associative and idempotent

  Scenario: Changes of a fact table continue at the cursor
    Given a fact table
    When a verdict and a notice are merged
    Then the changes of the fact table are the verdict and the notice
    And a later change of the verdict is the only one after the cursor
    And changes received from a peer are not sent back to that peer

  Scenario: A full fact table evicts the least urgent facts
    Given a fact table for 3 facts
    When a document, two counter snapshots and a verdict are merged
    Then the fact table holds the document, the verdict and the later snapshot

  Scenario: A fact table that is too large in bytes keeps its documents
    Given a fact table for 100 bytes
    When a large document is merged
    Then the fact table holds the document

  Scenario: An expired fact is neither kept nor taken in again
    Given a fact table
    When a quarantine is merged and then expires
    Then the fact table has dropped the quarantine
    And the fact table does not accept the quarantine again

  Scenario: The same statement lives until the later of two times
    Given a fact table
    When one quarantine is merged with two expiry times
    Then the fact table keeps the quarantine until the later expiry

  Scenario: Digests show which lasting facts differ
    Given a fact table
    Then tables with equal non-volatile facts have equal digests
    And one more verdict changes one digest
