Feature: Answers that break off inside their head

  # Guards against an answer whose connection closes after any byte of its head
  # being believed for its status or its first headers.
  Scenario Outline: No answer cut in its head is believed by a <reader>
    Given a server that breaks an answer for a <reader> off after each byte of its head
    When the <reader> calls it on new connections
    Then no answer with a cut head was believed, and the whole ones were

    Examples:
      | reader               |
      | read of the store    |
      | list of the store    |
      | watch of the store   |
      | write to the store   |
      | removal in the store |
      | start of an instance |
      | stop of an instance  |
      | list of instances    |
      | usage report         |
      | order of endpoints   |
      | load report          |
      | look-up              |
      | booking              |
      | load order           |
      | copy of a cache      |
      | query of a member    |
      | command              |
      | forwarded request    |

  # Guards against the same on a connection that has carried an answer.
  Scenario Outline: None on a kept connection is believed by a <reader>
    Given a server that breaks an answer for a <reader> off after each byte of its head
    When the <reader> calls it on kept connections
    Then no answer with a cut head was believed, and the whole ones were

    Examples:
      | reader               |
      | read of the store    |
      | watch of the store   |
      | write to the store   |
      | stop of an instance  |
      | usage report         |
      | load order           |
      | forwarded request    |
