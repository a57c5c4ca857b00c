Feature: Messages and objects that cannot be decoded

  # Guards against an error of another type, which ends the thread or the actor
  # that decodes the message.
  Scenario Outline: What cannot be decoded raises a value error
    Then each malformed <message> is refused with a value error

    Examples:
      | message              |
      | aggregate report     |
      | detached answer      |
      | request of a peer    |
      | answer of a peer     |
      | draw                 |
      | drawn credit         |
      | claim call           |
      | claim result         |
      | permit question      |
      | permit               |
      | ledger start         |
      | line of a stream     |
      | load report          |
      | list of instances    |
      | list of notices      |
      | member fact          |
      | registration         |
      | bucket of claims     |
      | usage counts         |
      | relayed objects      |
      | evacuation           |
      | entry of an endpoint |

  Scenario Outline: What cannot be decoded raises an error of its own
    Then each malformed <message> raises <error>

    Examples:
      | message       | error                |
      | status        | MalformedStatusError |
      | histograms    | MalformedStatusError |
      | document      | ConfigurationError   |
      | configuration | ConfigurationError   |
      | move record   | MoveFormatError      |
      | settings file | SettingsError        |
      | caller's body | RefusedError         |

  Scenario Outline: What cannot be decoded counts as absent
    Then each malformed <object> counts as <absent>

    Examples:
      | object            | absent |
      | lease             | free   |
      | capacity record   | empty  |
      | usage report      | none   |
      | stored quarantine | none   |
      | answer to a write | 0      |

  # Guards against an instance that gossips what no instance can use.
  Scenario Outline: A registration of a member is checked field by field
    Then a registration whose <field> is <value> is refused

    Examples:
      | field          | value          |
      | instance_id    | 7              |
      | instance_id    | ""             |
      | instance_id    | "a\ud800"      |
      | incarnation    | "1"            |
      | incarnation    | true           |
      | incarnation    | -1             |
      | incarnation    | 1e999          |
      | incarnation    | 400 digits     |
      | peer_address   | ["a:1"]        |
      | peer_address   | "a:99999"      |
      | peer_address   | "a"            |
      | started_s      | NaN            |
      | started_s      | "x"            |
      | region         | null           |
