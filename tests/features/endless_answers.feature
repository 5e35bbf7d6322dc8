Feature: Answers without end
  # Guards against nodes that read an answer without end into memory.
  Scenario Outline: A model request whose engines answer with <form> without end
    Given a system on the platform
    When the engines of a node's failure domain answer a stream with "<form>" without end
    Then the answer has each event once and in order
    And other requests were served at that node meanwhile
    And the engines' connections were closed within 2 seconds
    And the node's memory has grown by less than 60 MB

    Examples:
      | form          |
      | head          |
      | interim heads |
      | body          |
      | failure       |

  # Guards against nodes whose memory grows with the number of failures without end.
  Scenario: Many model requests whose engines answer with failures without end
    Given a system on the platform
    When 150 streams at a node meet engines that answer with "failure" without end
    Then each of these streams has ended
    And the node has not ended, and its memory has grown by less than 60 MB

  # Guards against waiting for an event as long as bytes arrive.
  Scenario: A model request whose engines answer with bytes that never complete an event
    Given a system on the platform
    When the engines of a node's failure domain answer a stream with "slow body" without end
    Then the answer has each event once and in order
    And other requests were served at that node meanwhile

  # Guards against nodes that read an answer without end into memory.
  Scenario: Servers of a plain service answer without end
    Given a system on the platform
    When a server answers a lookup and a booking with each form without end
    Then each of them has ended within its time limit
    And no booking ran twice
    And other requests were served at that node meanwhile
    And the servers' connections were closed within 2 seconds
    And the node's memory has grown by less than 60 MB

  # Guards against nodes that read a report without end into memory.
  Scenario: Engines report without end
    Given a system on the platform
    When engines report with "body" without end while one of them is silent
    Then other requests were served at that node meanwhile
    And the engines' connections were closed within 2 seconds
    And the node's memory has grown by less than 60 MB

  # Guards against nodes that read the answer to an order without end into memory.
  Scenario: Engines answer orders without end
    Given a system on the platform
    When the engines of a failure domain are started again and answer orders with "body" without end
    Then the engines' connections were closed within 2 seconds
    And the node's memory has grown by less than 60 MB
    And streams are served in each failure domain within 10 seconds

  # Guards against nodes that read an answer of the store without end into memory.
  Scenario: The store answers without end
    Given a system on the platform
    When the store answers with each form without end for 2 seconds
    Then the node's memory has grown by less than 60 MB
    And when the store is back, each node serves again within 2.5 seconds

  # Guards against nodes that read a line of tokens without end into memory.
  Scenario: An engine answers an attempt with a line without end
    Given an engine whose line of tokens has no end
    When an attempt runs on it
    Then the attempt is reported as cut
    And less than 8 MB of the line were sent
