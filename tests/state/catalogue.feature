Feature: Catalogue of routes and accounts

  Scenario Outline: The longest prefix of a host wins
    Given a catalogue with routes at h/a/, h/a/b/ and g/a/
    Then a request for <host> <path> goes to <route>

    Examples:
      | host   | path    | route  |
      | h      | /a/x    | h/a/   |
      | H      | /a/x    | h/a/   |
      | h:8080 | /a/b/x  | h/a/b/ |
      | h      | /a/b    | h/a/   |
      | h      | /ab/x   | none   |
      | h      | /a      | none   |
      | g      | /a/b/x  | g/a/   |
      | f      | /a/x    | none   |

  # Guards against an order by urgency where no operator has asked for one, and
  # against none where long work is to wait for short work.
  Scenario Outline: A goal several times that of a more urgent route can wait
    Given a catalogue whose service s has a route of rank <first> with a goal of <goal> s
    And a route to service <service> of rank <second> with a goal of <other> s
    Then requests are ordered by urgency: <ordered>

    Examples:
      | first | goal  | service | second | other | ordered |
      | 0     | 0.518 | s       | 2      | 2.545 | yes     |
      | 2     | 2.545 | s       | 0      | 0.518 | yes     |
      | 0     | 0.518 | s       | 1      | 1.245 | no      |
      | 0     | 0.518 | t       | 2      | 2.545 | no      |
      | 2     | 0.518 | s       | 0      | 2.545 | no      |
      | 1     | 0.518 | s       | 1      | 2.545 | no      |
      | 0     | 0     | s       | 2      | 2.545 | no      |
