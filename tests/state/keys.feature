Feature: API keys

  Scenario: A key finds its client account and no other key does
    Given the example document and its listed keys
    Then each listed key finds its own client account, also a second time
    And a wrong, an empty and a malformed key find none

  Scenario: Malformed hashes fit no key
    Then no key matches the hashes ":", "zz:00", "00" and an empty one

  Scenario: The cache of keys is bounded
    Then 5000 accounts leave at most 4096 cached keys
