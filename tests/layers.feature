Feature: Layers

  Scenario: Modules import only from lower layers
    Given the imports of every module of the package
    Then no module imports from a higher layer or from another top layer

  Scenario: Only the adapter knows the platform's names
    Given the names of the platform's headers, fields and words
    Then no other module of the package contains one of them

  Scenario: The reference pages match the declarations
    Then docs/EVENTS.md and docs/SETTINGS.md are as written by make docs
