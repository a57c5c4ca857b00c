Feature: Messages of two builds that serve side by side

  # Guards against a message that one of the builds rejects or reads wrongly
  # during a rolling replacement or a rollback. Builds of level 0 are strict
  # about most messages, so what is written for them has the same content.
  Scenario Outline: A message of the build of level 0 is read and written
    Then the recorded <message> is read
    And this build writes the <message> with <content> content
    And the <message> with fields of a newer build is read

    Examples:
      | message           | content  |
      | exchange          | the same |
      | envelope          | the same |
      | member fact       | the same |
      | registration      | the same |
      | aggregate report  | the same |
      | draw              | the same |
      | drawn credit      | the same |
      | exceeded quota    | the same |
      | permit question   | the same |
      | granted permit    | the same |
      | refused permit    | the same |
      | relayed objects   | the same |
      | forwarded request | the same |
      | forwarded answer  | the same |
      | forwarded refusal | more     |
      | endpoint listings | the same |
      | usage counts      | the same |
      | usage report      | the same |
      | quarantine entry  | the same |
      | lease             | the same |

  # Guards against one table that makes all instances of level 0 lose the
  # totals of the others.
  Scenario: A table is sent from its level on only
    Then a report with every table has those of level 0 for a peer of level 0
    And a report with every table is read back unchanged at level 1

  # Guards against a request that is counted as run because the refusal's kind
  # is not known, and against one that is counted as not run.
  Scenario Outline: The refusal of a peer with a kind of a newer build
    When a peer refuses with kind <kind> and exact kind <exact> as <ran>
    Then the refusal is read as <read> and <status>

    Examples:
      | kind        | exact  | ran     | read        | status  |
      | NO_CAPACITY | FUTURE | NOT_RUN | NO_CAPACITY | NOT_RUN |
      | FUTURE      | FUTURE | NOT_RUN | NO_CAPACITY | NOT_RUN |
      | NO_CAPACITY | LEAVING | NOT_RUN | LEAVING    | NOT_RUN |
      | NO_CAPACITY | FUTURE | FUTURE  | NO_CAPACITY | UNKNOWN |

  Scenario Outline: A message without a field of level 0 is malformed
    Then the <message> without its field <field> is refused

    Examples:
      | message          | field       |
      | registration     | region      |
      | aggregate report | total       |
      | draw             | account     |
      | usage counts     | windows     |
