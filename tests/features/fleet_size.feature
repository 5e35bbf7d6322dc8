Feature: Limits and choices that hold for any number of nodes
  Scenario Outline: Retries of <nodes> nodes at <rate> requests a second stay within the allowance
    Given <nodes> nodes that share a retry allowance
    When <rate> requests a second are served for 20 seconds and then all fail for 40 seconds
    Then no window has more retries than the allowance of all nodes

    Examples:
      | nodes | rate  |
      | 1     | 140   |
      | 9     | 140   |
      | 84    | 140   |
      | 700   | 140   |
      | 700   | 17000 |

  Scenario Outline: Requests of <nodes> nodes use no engine beyond its cache memory
    Given <nodes> nodes in one failure domain with three chains of engines
    When <running> requests run at once
    Then no engine has more requests than fit in its cache memory

    Examples:
      | nodes | running |
      | 1     | 150     |
      | 3     | 150     |
      | 28    | 150     |
      | 84    | 150     |

  Scenario: A refused stream that has begun is not retried without a delay
    Given an engine that refuses to resume a stream that has begun
    When a caller waits for the stream for 2 seconds
    Then the engine receives no more attempts than an exponential delay allows

  Scenario: Retries of 24 node processes stay within the allowance
    Given a system of 24 nodes whose engines refuse all requests
    When each node receives 1 request at once
    Then the engines receive no more retries than the allowance of all nodes
