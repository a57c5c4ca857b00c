Feature: Answers that are kept for callers that return

  # Guards against answers that are bounded in number only, and fill the memory
  # when endpoints or peers send large ones.
  Scenario: Large answers are kept within a bounded memory
    Given an empty cache of detached answers
    When 200 answers of 1024 KiB are added
    Then at most 32 MiB of answers are kept
    And the latest answer is returned

  Scenario: An answer that is added again counts once
    Given an empty cache of detached answers
    When the same answer of 1024 KiB is added 200 times
    Then the latest answer is returned
    When 20 answers of 1024 KiB are added
    Then 20 answers are kept
