Feature: Capacity controller

  Scenario: Instances are started within the budget and spread
    Given a capacity controller with a load of 20 requests
    When the capacity controller runs
    Then instances were started in at least 2 failure domains
    And they cost at most the budget

  Scenario: A refused start is tried elsewhere
    Given a capacity controller with a load of 20 requests
    And the cloud refuses starts in failure domain fd-1
    When the capacity controller runs
    And the capacity controller runs
    Then instances were started in at least 2 failure domains
    And none was started in failure domain fd-1

  Scenario: A planner that was overtaken starts nothing
    Given a capacity controller with a load of 20 requests
    And another planner writes the plan between the read and the write
    When the capacity controller runs
    Then no instance was started

  Scenario: A planner paused past its lease starts nothing
    Given a capacity controller with a load of 20 requests
    And the planner is paused for 20 seconds after writing its plan
    When the capacity controller runs
    Then no instance was started

  Scenario: An instance that is not needed is drained before it ends
    Given a capacity controller with a load of 0 requests
    And 10 instances run
    When the capacity controller runs
    Then a planned stop was published and no instance was terminated
    When the capacity controller runs 31 seconds later
    Then an instance was terminated
