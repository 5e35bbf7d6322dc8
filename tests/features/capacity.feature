Feature: View that nodes share of what runs on engines, without a network
  Scenario Outline: Bursts of requests at <count> nodes are known to all within half a second
    Given <count> nodes that share what they run
    Then for 6 bursts each node knows the use of all engines within 0.5 seconds

    Examples:
      | count |
      | 9     |
      | 83    |
      | 195   |
      | 700   |

  Scenario Outline: Bursts at <count> nodes that lose datagrams are known within a second
    Given <count> nodes that share what they run and lose 2 in 100 datagrams
    Then for 6 bursts each node knows the use of all engines within 1.0 seconds
    And no view was unknown

    Examples:
      | count |
      | 9     |
      | 83    |
      | 195   |
      | 700   |

  Scenario: Streams that start and end here count at once
    Given 83 nodes that share what they run
    When each of them runs 2 requests
    And a node starts 3 requests and ends 1
    Then that node knows the use of all engines at once

  Scenario: Nodes where nothing runs send one report a second
    Given 83 nodes that share what they run
    When nothing runs for 10 seconds
    Then each node but the collectors sends each of them 1 report a second
    And no view was unknown

  Scenario Outline: A busy node of <count> sends few and small datagrams
    Given <count> nodes that share what they run
    When each of them runs 3 requests
    Then each node but the collectors sends at most 10 datagrams a second
    And no datagram exceeds 1200 bytes

    Examples:
      | count |
      | 83    |
      | 195   |
      | 700   |

  Scenario: Requests that read their prompt are counted apart
    Given 9 nodes that share what they run
    When each of them has 2 requests whose prompt is being read
    Then each node knows that 2 requests of each node are being read

  Scenario Outline: A rejected request at <count> nodes makes the engine full for the whole domain
    Given <count> nodes that share what they run
    When an engine rejects a request of a node that is no collector
    Then within 0.11 seconds the nodes of the domain know that it is full
    And after 0.4 seconds no node takes it for full

    Examples:
      | count |
      | 9     |
      | 83    |
      | 195   |
      | 700   |

  Scenario: A storm of rejections is reported at most every 50 milliseconds
    Given 83 nodes that share what they run
    When an engine rejects 200 requests of a node within a second
    Then that node sends at most 21 reports of rejections to each collector

  Scenario: Callers who wait and arrive are known by priority
    Given 83 nodes that share what they run
    When 2 requests of priority 1 and 3 of priority 4 arrive and wait at each node
    Then each node knows of 28 nodes with 56 requests of priority 1 and 84 of priority 4
    When these requests start and their streams end
    Then each node knows that 140 streams end a second and none waits

  Scenario Outline: The room of other domains is known at <count> nodes
    Given <count> nodes that share what they run
    When the collectors of domain 1 know of 12.5 free places and 4 requests wait there
    Then each node of domain 0 knows that room within 3 seconds

    Examples:
      | count |
      | 9     |
      | 83    |
      | 195   |
      | 700   |

  Scenario: Streams that spill into another domain are counted there
    Given 83 nodes that share what they run
    When 5 nodes of domain 1 run requests on engines of domain 0
    Then each node of domain 0 knows the use of all engines within 2.5 seconds
    And no node of domain 1 claims to know the use of an engine of domain 0

  Scenario: Deployments with one priority and like pipelines send nothing
    Given 9 nodes with one priority and like pipelines
    When each of them runs 2 requests
    Then no node sends a datagram, and the use of engines is unknown

  Scenario: Sharing begins when accounts get different priorities, and ends again
    Given 9 nodes with one priority and like pipelines
    When accounts get the priorities 0 and 2
    And each of them runs 2 requests
    Then for 2 bursts each node knows the use of all engines within 0.5 seconds
    When all accounts get priority 1
    Then no node sends a datagram, and the use of engines is unknown

  Scenario: Services need the view for unlike priorities or pipelines only
    Then a service with one route and accounts without priorities needs no view
    And one whose accounts all have the same priority needs no view
    And one whose accounts have two priorities needs a view
    And one with a route of another kind and another priority needs no view
    And one with two streaming routes of unlike priorities needs a view
    And one whose priorities are 9 and 12 needs no view
    And one whose slowest pipeline takes 1.9 times as long as the fastest needs no view
    And one whose slowest pipeline takes 2.0 times as long as the fastest needs a view
    And an incomplete pipeline is not compared

  Scenario: The rule is not evaluated for each request
    Given 9 nodes that share what they run
    When a node asks 1000 times whether the service needs the view
    Then the rule was evaluated once

  Scenario: The choice of engines records requests as they start, read and end
    Given a fleet of engines, planned and loaded
    When its node starts 3 requests, 2 are read and 1 of these ends
    Then the node reports 2 requests on these engines and 1 being read

  Scenario: The metrics page has sums of all engines only
    Given 83 nodes that share what they run
    When each of them runs 2 requests
    Then the page of a collector shows 28 nodes, 672 uses and no name of an engine

  Scenario: Only refusals for lack of room make an engine full
    Then answers 503 and 429 without a time tell that an engine has no room
    And answers 421, 400, of a leaving engine or with a time do not
