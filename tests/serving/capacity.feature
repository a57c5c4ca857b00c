Feature: Capacity keeper

  Scenario: Instances are started within the budget and spread
    Given a capacity keeper with a load of 20 requests
    When the capacity is looked at
    Then instances were started in at least 2 failure domains
    And they cost at most the budget

  Scenario: A refused start is tried elsewhere
    Given a capacity keeper with a load of 20 requests
    And the cloud refuses starts in failure domain fd-1
    When the capacity is looked at
    And the capacity is looked at
    Then instances were started in at least 2 failure domains
    And none was started in failure domain fd-1

  Scenario: A planner that was overtaken starts nothing
    Given a capacity keeper with a load of 20 requests
    And another planner writes the plan meanwhile
    When the capacity is looked at
    Then no instance was started

  Scenario: A planner paused past its lease starts nothing
    Given a capacity keeper with a load of 20 requests
    And it is paused for 20 seconds after it has written its plan
    When the capacity is looked at
    Then no instance was started

  Scenario: An instance that is not needed is drained before it ends
    Given a capacity keeper with a load of 0 requests
    And 10 instances run
    When the capacity is looked at
    Then a planned stop was told and no instance was ended
    When the capacity is looked at 31 seconds later
    Then an instance was ended
