@site
Feature: Status, histograms and metrics of real processes

  Scenario: The commands read every instance
    When 2 chats, 2 look-ups and 1 booking are sent to every instance
    Then "status" ends as everywhere and names every instance
    And "histograms" ends as whole with these requests of "brunner-desk"
      | request_class | measure | count |
      | chat          | whole   | 6     |
      | chat          | first   | 6     |
      | lookup        | whole   | 6     |
      | booking       | whole   | 3     |

  Scenario: Metrics reach a statsd server
    Given an instance that sends metrics to a socket
    When 2 chats, 2 look-ups and 1 booking are sent to that instance
    And a booking without a key is sent to that instance
    Then these metrics arrive
      | metric                     |
      | requests.active            |
      | requests.chat.done         |
      | requests.lookup.done       |
      | requests.booking.done      |
      | requests.booking.refused   |
      | refusals.idempotency_key_required |
      | latency.chat.first         |
      | latency.booking.whole      |
      | store_calls.put            |
      | store_calls.watch          |
