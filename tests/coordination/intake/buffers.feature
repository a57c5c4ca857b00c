Feature: Requests that yield when a server holds too much

  Scenario: The request that holds the most without progress yields
    Given a budget of 1000 KiB
    When a sends 300 KiB at 0 s
    And b sends 300 KiB at 9 s
    And c sends 200 KiB at 10 s
    Then only a yields
    And 500 KiB are held

  # Guards against a sender that stops just short of its end and keeps others
  # out: a byte now and then is no progress.
  Scenario: A sender that trickles yields to one that makes progress
    Given a budget of 1000 KiB
    When a sends 400 KiB at 0 s
    And a sends 401 KiB at 10 s
    And b sends 500 KiB at 10 s
    Then only a yields

  # Guards against a slow but sound sender that is ended for its age by those
  # that send as much at once, stop and come again.
  Scenario: A slow sender that makes progress is kept
    Given a budget of 1000 KiB
    When a sends 300 KiB at 0 s
    And b sends 300 KiB at 5 s
    And a sends 400 KiB at 9 s
    And c sends 100 KiB at 10 s
    Then only b yields

  Scenario: Small requests fit beside all that large ones may hold
    Given a budget of 1000 KiB
    When a sends 700 KiB at 0 s
    And b sends 100 KiB at 1 s
    Then only a yields
    When c sends 60 KiB at 2 s
    Then no further one yields

  Scenario: Complete requests do not yield
    Given a budget of 1000 KiB
    When the request of a is complete with 700 KiB at 0 s
    And b sends 100 KiB at 1 s
    Then only b yields
    And there is no room for 100 KiB
    And there is room for 60 KiB
    When the request of a is released twice
    Then there is room for 700 KiB
    And 0 KiB are held

  Scenario: A request that becomes too large as it is completed yields itself
    Given a budget of 1000 KiB
    When the request of a is complete with 600 KiB at 0 s
    And the request of b is complete with 400 KiB at 1 s
    Then only b yields
    And 600 KiB are held

  # Guards against an announced body of legal size that no budget admits.
  Scenario: One request of the largest size fits
    Given a budget of 1000 KiB with requests of at most 1000 KiB
    Then there is room for 1000 KiB
    When the request of a is complete with 1000 KiB at 0 s
    Then no further one yields

  Scenario: Requests that are being received leave room for others
    Given a budget of 1000 KiB
    When a sends 700 KiB at 0 s
    Then there is room for 700 KiB

  Scenario Outline: The connections that hold least are closed for others
    Given connections of a server for <limit>
      | name      | idle_s | is_partial | has_sent | is_refused | is_answering |
      | pipelines | 9.0    | no         | yes      | no         | yes |
      | answering | 0.1    | yes        | yes      | no         | no |
      | kept      | 5.0    | no         | yes      | no         | no |
      | silent    | 3.0    | no         | no       | no         | no |
      | new       | 0.5    | no         | no       | no         | no |
      | stalled   | 1.5    | yes        | yes      | no         | no |
      | refused   | 0.0    | no         | yes      | yes        | no |
    Then <closed> are closed

    Examples:
      | limit | closed                                 |
      | 10    | refused                                |
      | 128   | refused, stalled                       |
      | 256   | refused, stalled, silent, kept         |
      | 320   | refused, stalled, silent, kept, pipelines |
      | 448   | refused, stalled, silent, kept, pipelines, new, answering |

  Scenario Outline: The limits follow from the memory of the process
    Then <memory> MiB and room for <most> connections give <connections>
    And <memory> MiB and requests of <request> MiB give <callers> MiB for callers

    Examples:
      | memory | most | connections | request | callers |
      | 300    | 3100 | 2560        | 8       | 60      |
      | 300    | 1124 | 1124        | 40      | 80      |
      | 300    | 50   | 100         | 200     | 150     |
