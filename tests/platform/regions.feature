Feature: Allowed regions enforced by an instance, as a process

  Background:
    Given an instance with allowed regions, e1 in r1 and e2 in r2

  # Guards against the restriction of a route or of an account being dropped.
  Scenario: Routes and accounts keep requests in their regions
    When 6 requests of a route allowed in r1 are sent
    Then the regions of these requests were served by e1 only
    When 6 requests of an account allowed in r2 are sent
    Then the regions of these requests were served by e2 only
    When 12 requests without a restriction are sent
    Then the regions of these requests were served by e1 and e2

  Scenario: A request whose route and account allow no common region is refused
    When a request is sent whose route allows r1 and whose account r2
    Then it is refused at once with a Retry-After, naming none in common

  Scenario: A request whose region has no endpoint is refused
    When a request of a route allowed in r9 is sent
    Then it is refused at once with a Retry-After, naming r9

  # Guards against a retry that leaves the region.
  Scenario: A full endpoint's request does not leave its region
    When e1 is full and a request of a route allowed in r1 is sent
    Then it is refused and e2 has received nothing

  # Guards against a peer that forwards a request out of its region.
  Scenario: The request of a peer stays in its region
    When a peer forwards 6 requests that are allowed in r2
    Then the regions of these requests were served by e2 only
