Feature: Environment document

  Scenario: The example document is whole
    When the document in examples/production.ini is parsed
    Then the document has 3 councils, 10 client accounts and 9 services
    And the document keeps its version and the digest of its bytes

  Scenario Outline: A document names each fault with its remedy
    Given the example document with "<old>" replaced by "<new>"
    When the document is parsed
    Then the document has a fault at "<section>" key "<key>" with a remedy

    Examples:
      | old                     | new                      | section                     | key             |
      | budget_per_hour = 60    | budget_per_hour = nan    | environment                 | budget_per_hour |
      | budget_per_hour = 60    | budget_per_hour = inf    | environment                 | budget_per_hour |
      | budget_per_hour = 60    | budget_per_hour = -1     | environment                 | budget_per_hour |
      | budget_per_hour = 60    | budget = 60              | environment                 | budget          |
      | [environment]           | [surroundings]           | environment                 |                 |
      | [environment]           | [DEFAULT]                | DEFAULT                     |                 |
      | [council brunner]       | [council Brunner]        | council Brunner             |                 |
      | [council brunner]       | [council bruner]         | service slots               | council         |
      | [service slots]         | [service slot]           | client_account brunner-desk | services        |
      | [service slots]         | [service schedule]       | service schedule            |                 |
      | kind = plain            | kind = odd               | service slots               | kind            |
      | kind = plain            | kind = model             | service fitter-bookings     | classes         |
      | classes = lookup        | classes = lookup, lookup | service slots               | classes         |
      | version = v1            | version = v9             | service slots               | version         |
      | versions = v1, v2       | versions =               | service slots               | versions        |
      | weight = 1              | weight = 0               | client_account brunner-history | weight       |
      | weight = 1              | weight = 1\nweight = 2   | client_account brunner-history | weight       |
      | services = job-history  | services = questions     | client_account brunner-history | services     |
      | key_hash =              | key_hash = z             | client_account brunner-desk | key_hash        |
      | [environment]           | stray\n[environment]     |                             |                 |

  Scenario: Every fault is named at once
    Given the document text "stray\n[environment]\nname = A\nname = b\n[odd]"
    When the document is parsed
    Then the document has 6 faults

  Scenario: Too many faulty lines end the reading
    Given a document of 5000 repeated sections
    When the document is parsed
    Then the document has 20 faults

  Scenario: A document above one megabyte is not read
    Given a document of 1000001 bytes
    When the document is parsed
    Then the document has 1 faults

  Scenario: Any bytes give a document or its faults
    Then parsing arbitrary bytes returns a document or faults
    And parsing shuffled lines of the example returns a document or faults
