Feature: Kept connections that are closed as a request arrives
  # Guards against losing a stream to a kept connection that its engine closes.
  Scenario Outline: A stream that <rule> is answered though kept connections are closed
    Given a system on the platform
    And a route whose streams <rule>
    And engines that close kept connections when the next stream arrives
    When a caller requests a stream
    Then the answer has each event once and in order
    And the stream ran once

    Examples:
      | rule                |
      | may be repeated     |
      | may not be repeated |

  # Guards against dropping a request that arrived before its connection was closed.
  Scenario Outline: A request that has arrived as <event> is answered
    When a request arrives on a kept connection before the listener finds that <event>
    Then the request on the kept connection is answered

    Examples:
      | event                    |
      | the idle limit passes    |
      | the listener is to stop  |

  # Guards against a node that exits while it receives a request.
  Scenario Outline: A request that <arrival> is answered
    Given a system on the platform
    When a booking <arrival> on a kept connection
    Then the request on the kept connection is answered

    Examples:
      | arrival                                     |
      | is being received as the node stops         |
      | arrives while the node is silent and stops  |
