Feature: Regions in which the content of a request may be processed

  # Guards against one of two restrictions being dropped.
  Scenario Outline: Route and account both restrict
    Given a route that allows <route> and an account that allows <account>
    Then a receiver in r1 is <in_r1>, in r2 <in_r2>, and elsewhere <elsewhere>

    Examples:
      | route  | account | in_r1   | in_r2   | elsewhere |
      | any    | any     | allowed | allowed | allowed   |
      | r1     | any     | allowed | refused | refused   |
      | any    | r2      | refused | allowed | refused   |
      | r1,r2  | r2      | refused | allowed | refused   |
      | r1     | r2      | refused | refused | refused   |
