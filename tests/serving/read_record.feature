Feature: Record of what the store answers to the reads of a kind

  # Guards against a lost history that repeats for the same revision and that
  # no operator can see: only the first failing read of a loop was logged.
  Scenario: Losses in a row are counted, and logged ever less often
    Given the record of the reads of a kind
    When 9 reads in a row find the history after revision 51 lost
    Then the loss is logged with the rows 1, 2, 4, 8 for revision 51
    And 9 losses are counted

  Scenario: A watch that is answered ends a row of losses
    Given the record of the reads of a kind
    When 3 reads in a row find the history after revision 51 lost
    And a watch is answered
    And 1 reads in a row find the history after revision 60 lost
    And the kind is listed at revision 61
    Then the loss is logged with the rows 1, 2, 1 for revision 60
    And 4 losses are counted
    And the list after the loss is logged once
