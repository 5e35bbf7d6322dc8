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

  Scenario Outline: Retries of <nodes> nodes stay within the allowance when, after <before>, <change>
    Given <nodes> nodes that share a retry allowance
    When after <before>, <change>
    And all requests fail for 40 seconds
    Then no window has more retries than the allowance of all nodes

    Examples:
      | nodes | before              | change                              |
      | 9     | a burst of failures | as many nodes join                  |
      | 84    | a burst of failures | as many nodes join                  |
      | 84    | a burst of failures | half of the nodes leave             |
      | 84    | a burst of failures | half of the nodes restart           |
      | 84    | a burst of failures | all nodes restart without the store |
      | 700   | a burst of failures | half of the nodes leave             |

  Scenario Outline: Retries of <nodes> nodes stay within the allowance <seconds> seconds after <first>, when <second>
    Given <nodes> nodes that share a retry allowance
    When after a calm time, <first>
    And all requests are served for <seconds> seconds
    And after no time, <second>
    And all requests fail for 40 seconds
    Then no window has more retries than the allowance of all nodes

    Examples:
      | nodes | seconds | first                                    | second                    |
      | 9     | 4       | as many nodes join                       | nothing changes           |
      | 84    | 70      | half of the nodes leave                  | all nodes run again       |
      | 84    | 80      | half of the nodes cannot write the store | half of the nodes restart |
      | 84    | 80      | half of the nodes cannot write the store | nothing changes           |

  Scenario: Nodes that cannot read the store do not divide by an outdated number
    Given 9 nodes that share a retry allowance
    When after a calm time, half of the nodes cannot read the store
    And after a calm time, as many nodes join
    And all requests are served for 40 seconds
    And all requests fail for 40 seconds
    Then no window has more retries than the allowance of all nodes

  Scenario: Nodes that know each other use most of the allowance
    Given 84 nodes that share a retry allowance
    When 140 requests a second are served for 20 seconds and then all fail for 40 seconds
    Then some window has at least 0.8 of the allowance of all nodes

  # Guards against nodes that each use all slots of a server in their failure domain.
  Scenario Outline: Plain requests of <nodes> nodes use free slots elsewhere
    Given three servers with 4 slots for each of <nodes> nodes of a failure domain
    When these nodes have 8 requests each running at once
    Then no server has more than its slots and one request a node
    And with 2 requests each all are at the server here

    Examples:
      | nodes |
      | 3     |
      | 28    |
      | 65    |
      | 233   |

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

  Scenario Outline: <nodes> nodes probe a slow engine together at most 1.5 times a second
    Given an engine that <nodes> nodes of its failure domain know to be slow
    When they probe it for 120 seconds
    Then it receives at most 1.5 probes a second after each node's first one

    Examples:
      | nodes |
      | 3     |
      | 28    |
      | 84    |

  Scenario Outline: <nodes> overloaded nodes probe an engine without faults less and less
    Given an engine that <nodes> nodes of its failure domain find late and that reports no fault
    When each of them asks for a probe ten times a second for 20 seconds
    Then it receives at most 20 probes from each node

    Examples:
      | nodes |
      | 3     |
      | 28    |

  Scenario Outline: Few of <nodes> nodes do the work of a lost one
    Given <nodes> nodes that know each other by their rows
    When each determines its turn for 20 tasks
    Then the acting nodes at most double with each turn
    And with half of the nodes lost some node acts within 4 turns

    Examples:
      | nodes |
      | 1     |
      | 9     |
      | 84    |
      | 700   |

  Scenario: A refused stream that has begun is not retried without a delay
    Given an engine that refuses to resume a stream that has begun
    When a caller waits for the stream for 2 seconds
    Then the engine receives no more attempts than an exponential delay allows
    And the rejection of each attempt after the first is recorded for others

  # Guards against engines that all nodes avoid as full, though they have room.
  Scenario Outline: A refusal with <status> <how> does not make an engine full for all nodes
    Given an engine that refuses to resume a stream that has begun
    And it refuses with <status> <how>
    When a caller waits for the stream for 2 seconds
    Then no rejection is recorded for others

    Examples:
      | status | how           |
      | 421    | at once       |
      | 503    | as it leaves  |
      | 429    | for some time |

  Scenario: Retries of 24 node processes stay within the allowance
    Given a system of 24 nodes whose engines refuse all requests
    When each node receives 1 request at once
    Then the engines receive no more retries than the allowance of all nodes

  Scenario Outline: A pipeline is chosen with work that grows little with <engines> engines
    Given <domains> failure domains with chains for <engines> engines in all
    When a pipeline is chosen while engines are idle, and while all are loaded
    Then idle engines take at most 1500 function calls and loaded ones 100 for each

    Examples:
      | engines | domains |
      | 32      | 1       |
      | 96      | 3       |
      | 224     | 7       |
      | 704     | 22      |

  Scenario Outline: Unchanged plans are checked with work that does not grow with <engines> engines
    Given <domains> failure domains with chains for <engines> engines in all
    When plans and orders are checked for 10 seconds without a change
    Then a check takes at most 100 function calls

    Examples:
      | engines | domains |
      | 32      | 1       |
      | 96      | 3       |
      | 224     | 7       |
      | 704     | 22      |

  Scenario: An idle node wakes up for all its checks together
    Given a fleet of engines, planned and loaded
    When the node's periodic tasks run for 10 seconds without a request
    Then it wakes up at most 15 times a second

  Scenario: Waiting for another node's orders takes no look at all nodes
    Given a fleet of engines, planned and loaded
    When 20 engines differ from a plan of another node for 2 seconds
    Then the node's turn was never determined
    When they differ for 4 seconds
    Then the node's turn was determined

  Scenario: Callers of a failure domain without engines are served by the others
    Given five failure domains of which one has no engines
    Then a node of that one chooses a pipeline within a single other domain
    When the engines of that other domain are lost
    Then it chooses a pipeline within a third domain
