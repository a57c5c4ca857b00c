Feature: Admission

  Scenario: An account over its share is told when its refill covers it
    Given admission of 1000 tokens a second to accounts a=1 b=1
    When account a sends 100 chats of 100 tokens at once
    Then between 8 and 10 of these requests of account a are admitted
    And its first refusal is over_share, not run, after 0.1 to 0.4 seconds
    And a chat sent by account a at that retry time is admitted

  Scenario: Refused requests are told different times
    Given admission of 1000 tokens a second to accounts a=1 b=1
    When account a sends 60 chats of 100 tokens at once
    Then the retry times of account a grow by 0.2 seconds each

  Scenario: A large account cannot take the share of a small one
    Given admission of 1000 tokens a second to accounts big=4 small=1
    When account big sends 100 chats of 100 tokens a second for 30 seconds
    And meanwhile account small sends 1 chats of 100 tokens a second
    Then all chats of account small are admitted

  Scenario: Unused shares are lent
    Given admission of 1000 tokens a second to accounts a=1 b=1 c=2
    When account a sends 20 chats of 100 tokens a second for 60 seconds
    Then account a got between 85% and 105% of the shared rate

  Scenario: Borrowers share what is lent by weight
    Given admission of 1000 tokens a second to accounts a=1 b=3 idle=4
    When account a sends 20 chats of 100 tokens a second for 60 seconds
    And meanwhile account b sends 20 chats of 100 tokens a second
    Then account b got between 2 and 4 times as much as account a

  Scenario: Patient work yields first
    Given admission of 1000 tokens a second to accounts a=1
    When account a sends 10 chats of 90 tokens a second for 30 seconds
    And meanwhile account a sends 10 patient requests of 100 tokens a second
    Then all chats of account a are admitted
    And fewer than 25% of the patient requests of account a are admitted

  Scenario: Patient work is shed as the capacity plan says
    Given admission of 1000 tokens a second to accounts a=1
    And admission admits a quarter of the patient requests
    When account a sends 2 patient requests of 10 tokens a second for 20 seconds
    Then 10 patient requests of account a are admitted

  Scenario: An account that arrives at one node is not held to its part
    Given admission of 1000 tokens a second to accounts a=1 b=1
    And admission knows of 8 live nodes whose peers see no demand
    When account a sends 5 chats of 100 tokens a second for 30 seconds
    Then at least 90% of the chats of account a are admitted

  Scenario: Without reports of peers each node keeps to its part
    Given admission of 1000 tokens a second to accounts a=1 b=1
    And admission knows of 8 live nodes without reports
    When account a sends 50 chats of 10 tokens a second for 30 seconds
    Then account a got between 85% and 115% of an eighth of the rate

  Scenario: Nodes with the same demand share the rate equally
    Given admission of 1000 tokens a second to accounts a=1
    And admission knows of 8 live nodes whose peers see the same demand
    When account a sends 100 chats of 10 tokens a second for 30 seconds
    Then account a got between 80% and 130% of an eighth of the rate

  Scenario: A request larger than the bucket is admitted when it is full
    Given admission of 1000 tokens a second to accounts a=1 b=1
    When account a sends 2 chats of 1500 tokens at once
    Then between 1 and 1 of these requests of account a are admitted

  Scenario: Requests in flight are limited and patient work sooner
    Given admission of 1000000 tokens a second to accounts a=1 b=1
    When account a sends 300 patient requests of 1 tokens at once
    Then between 240 and 240 of these requests of account a are admitted
    When account a sends 600 chats of 1 tokens at once
    Then between 144 and 144 of these requests of account a are admitted
    When account b sends 600 chats of 1 tokens at once
    Then between 96 and 96 of these requests of account b are admitted
    And its first refusal is no_capacity, not run, after 0.1 to 1 seconds

  Scenario: Requests that end make room
    Given admission of 1000000 tokens a second to accounts a=1
    When account a sends 600 chats of 1 tokens at once
    And all admitted requests end
    Then admission has 0 requests in flight
    When account a sends 600 chats of 1 tokens at once
    Then between 480 and 480 of these requests of account a are admitted

  Scenario: Without a shared rate nothing is admitted
    Given admission of 0 tokens a second to accounts a=1
    When account a sends 3 chats of 10 tokens at once
    Then between 0 and 0 of these requests of account a are admitted
    And its first refusal is over_share, not run, after 30 to 30 seconds

  Scenario: An account that is removed is refused with the remedy
    Given admission of 1000 tokens a second to accounts a=1 b=1
    When the accounts of admission become b=1
    And account a sends 1 chats of 1 tokens at once
    Then its first refusal is forbidden, not run, without a retry time

  Scenario: No pattern of arrivals exceeds the shared rate
    Then for any arrivals admitted tokens stay within rate and burst

  Scenario Outline: Eight nodes together keep to the shared rate
    When demand moves between 8 nodes every <move_s> seconds with <lost>% report loss
    Then the nodes together admit between <low>% and 110% of the shared rate

    Examples:
      | move_s | lost | low |
      | 0.01   | 0    | 95  |
      | 0.01   | 30   | 95  |
      | 10     | 0    | 67  |
      | 10     | 30   | 67  |
