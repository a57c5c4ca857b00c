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
