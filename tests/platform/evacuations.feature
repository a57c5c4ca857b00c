Feature: Evacuations followed by an instance on the users' platform, as a process

  # Guards against an evacuation that ends what runs or leaves callers waiting.
  Scenario: An evacuation keeps new requests away and lets running ones end
    Given an instance that follows evacuations, with e1 in z1 and e2 in z2
    When 2 GET /slow/y/x are running and the operator evacuates z1
    Then within 5 seconds the metrics page names z1 as evacuated
    And 8 GET /safe/x are answered by e2
    And the running requests are answered by both endpoints
    When z2 is evacuated too
    Then within 5 seconds a POST /once/x is refused at once with a Retry-After
    When both evacuations are withdrawn
    Then within 5 seconds e1 and e2 answer GET /safe/x again
    And an idle instance that follows evacuations has at most 25 threads
