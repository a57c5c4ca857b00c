Feature: History checker

  Scenario: A clean history has no violation
    Given a clean history
    Then the checker finds nothing

  Scenario: A history survives its file
    Given a clean history
    When the history is written and read again
    Then the checker finds nothing

  Scenario Outline: A planted violation is found
    Given a clean history
    When the history also contains <planted>
    Then the checker finds only "<rule>"

    Examples:
      | planted                                            | rule                  |
      | a second run of a booking elsewhere                | at most once          |
      | an answer with another booking's id                | booking as asked      |
      | a run of a request refused as not run              | not run               |
      | a run of an attempt at what was refused as not run | not run               |
      | a resend refused as not run after a run            | not run after a send  |
      | an answer cut short                                | whole answer          |
      | an answer to another prompt                        | whole answer          |
      | an answer with too low a token count               | whole answer          |
      | a look-up's result of another query                | whole answer          |
      | one request id on two calls                        | own answer            |
      | a call without an end                              | every call ends       |
      | an answer that is not typed                        | typed answer          |
      | a refusal that does not say whether it ran         | typed answer          |
      | a call lost at a running entry                     | no loss               |
      | work at a leaving endpoint after 3.1 s             | leaving endpoint      |
      | a configuration going back                         | configuration         |
      | a store revision going back                        | store revision        |
      | a move without an end                              | move ends             |
      | a move that ends after its deadline                | move ends             |
      | a move that ends twice                             | move ends             |
      | a call cut off by a planned stop                   | planned stop          |
      | a request that ended three endpoints               | quarantine            |
      | a request to a version taken back                  | taken back            |
      | a configuration in force after 8 s                 | configuration in time |

  Scenario Outline: What is allowed is not reported
    Given a clean history
    When the history also contains <allowed>
    Then the checker finds nothing

    Examples:
      | allowed                                   |
      | work at a leaving endpoint after 2.9 s    |
      | a call lost with a killed entry           |
      | a refusal that says outcome unknown       |
      | a request that ended two endpoints        |
      | a move without an end before its deadline |
      | a request to a version just taken back    |
      | a configuration in force after 6 s        |
      | a configuration read after a gap          |
