Feature: Schedule of a version move

  Scenario: The share grows only with evidence, in time, and with capacity
    Given a move of 300 seconds
    Then the schedule decides
      | share | now_s | since_s | loaded | judgement | decision         |
      | 0     | 1     | 0       | 1      | undecided | hold: endpoints  |
      | 0     | 1     | 0       | 2      | undecided | share 0.015      |
      | 0.015 | 20    | 1       | 9      | undecided | hold: requests   |
      | 0.015 | 4     | 1       | 9      | good      | hold: raised     |
      | 0.015 | 60    | 1       | 9      | good      | hold: later      |
      | 0.015 | 145   | 1       | 9      | good      | share 0.05       |
      | 0.1   | 170   | 160     | 9      | partly    | hold: requests   |
      | 0.1   | 170   | 160     | 9      | good      | share 0.2        |
      | 0.4   | 190   | 180     | 3      | good      | share 0.2        |
      | 0.8   | 200   | 190     | 9      | good      | hold: watched    |
      | 0.8   | 222   | 190     | 9      | good      | share 0.9        |
      | 0.9   | 230   | 222     | 9      | good      | hold: confirmed  |
      | 0.9   | 243   | 222     | 9      | undecided | hold: requests   |
      | 0.9   | 243   | 222     | 9      | good      | finish           |
      | 0.9   | 281   | 222     | 9      | good      | give up: written |
      | 0.015 | 245   | 20      | 9      | undecided | give up: judged  |
      | 0     | 245   | 0       | 0      | undecided | give up: endpoints |

  Scenario: The first verdict comes at 2 % of the requests or less
    Then the trial share is not above 0.02

  Scenario Outline: The ramp is longer when there are few requests
    Given a move of 2400 seconds
    Then at <rate> requests a second the ramp begins <before_s> before its end

    Examples:
      | rate | before_s |
      | 200  | 106      |
      | 8    | 1188     |
