Feature: Faults of nodes, links and values of the shared view, without a network
  Scenario Outline: A lost collector at <count> nodes is replaced within 0.6 seconds
    Given <count> nodes that share what they run
    When each of them runs 2 requests
    And the first collector is killed
    Then no node of the domain is without a view for the next 3 seconds
    And for 3 bursts each node knows the use of all engines within 0.6 seconds of its reports

    Examples:
      | count |
      | 9     |
      | 83    |
      | 195   |
      | 700   |

  Scenario: After both collectors are lost, the next nodes take over
    Given 83 nodes that share what they run
    When each of them runs 2 requests
    And both collectors are killed
    Then within 1.0 seconds no node uses a view of theirs
    And within 2.0 seconds each node has a view of 26 nodes
    And the counts are those of the nodes that are left

  Scenario: The counts of a killed node leave the view
    Given 83 nodes that share what they run
    When each of them runs 2 requests
    And a node that is no collector is killed
    Then within 1.5 seconds each node has a view of 27 nodes
    And the counts are those of the nodes that are left

  Scenario: A node whose link to the first collector is cut uses the second
    Given 83 nodes that share what they run
    When each of them runs 2 requests
    And a node's link to the first collector is cut
    Then that node knows the use of all engines from 0.7 seconds on
    And 3 seconds later a third node gets its reports too

  Scenario: A node without a link to any other knows nothing
    Given 83 nodes that share what they run
    When each of them runs 2 requests
    And a node is cut off from all others
    Then within 1.1 seconds that node has no view
    When its links are mended
    Then within 2.0 seconds each node has a view of 28 nodes

  Scenario: A suspended node trusts no old view
    Given 83 nodes that share what they run
    When each of them runs 2 requests
    And a node that is no collector is suspended for 5 seconds
    Then it has no view when it wakes up
    And half a second later each node knows the use of all engines

  Scenario: A suspended collector spreads no old counts
    Given 83 nodes that share what they run
    When each of them runs 2 requests
    And the first collector is suspended for 5 seconds while all requests end
    Then for 2 seconds after it wakes up no node takes an engine for busy

  Scenario: A restarted node counts only what it runs now
    Given 83 nodes that share what they run
    When each of them runs 2 requests
    And a node that is no collector is restarted
    Then within 0.6 seconds each node knows the use of all engines

  Scenario: Requests on an earlier run of an engine do not count
    Given 83 nodes that share what they run
    When each of them has 2 requests on one engine, which restarts
    Then within 0.5 seconds each node knows that nothing runs on it
    When each of them starts 1 request on it and those of the earlier run end
    Then within 0.5 seconds each node knows that 1 request of each node runs on it

  Scenario: Absurd counts of one node leave those of the others as they are
    Given 83 nodes that share what they run
    When each of them runs 2 requests
    And a node reports 10000 requests on an engine
    Then within 0.5 seconds each other node knows the rest of that use
    And the collectors have counted absurd values

  Scenario: A sum that an engine cannot have is unknown
    Given 9 nodes that share what they run
    When each of them reports 90 requests on an engine with 24 slots
    Then no node claims to know the use of that engine

  Scenario: Invalid values of other parts are not shared
    Then free places that are negative, infinite or not a number are unknown
    And a number of waiting requests below zero counts as zero

  Scenario: Datagrams without a valid MAC, of strangers, or damaged are counted and dropped
    Given 83 nodes that share what they run
    When each of them runs 2 requests
    Then a datagram under another token is dropped as mac
    And a datagram of a node without a row is dropped as unknown_node
    And a datagram that arrives twice is dropped as stale
    And a line of the own domain is dropped as wrong_domain
    And a report with 2000000 waiting requests is dropped as invalid
    And a datagram cut short is dropped as invalid
    And each node knows the use of all engines as before

  Scenario: No datagram makes a node fail
    Given 9 nodes that share what they run
    Then no random datagram, and none with a valid MAC, raises an error

  # Guards against memory that grows with the engines that a node has ever seen.
  Scenario: Engines that come and go leave nothing at nodes that collect nothing
    Given 9 nodes that share what they run
    When 1000 engines come and go one after another, each with a request of the last node
    Then that node keeps at most twice as many digests as engines are listed

  # Guards against choices whose work grows with the nodes of a domain.
  Scenario Outline: The uses of 20 engines by a late view take no more work with <nodes> nodes
    Given <nodes> nodes that share what they run
    When each of them runs 2 requests
    And both collectors are killed and 0.8 seconds pass
    Then a node finds the uses of 20 engines by one choice of a view

    Examples:
      | nodes |
      | 9     |
      | 195   |

  Scenario: Messages of any size survive the way
    Then random reports and views are read as they were written, in datagrams of 1200 bytes

  Scenario: Clocks that drift apart do not make views old
    Given 83 nodes that share what they run
    When a collector's clock loses 4 milliseconds a second for 600 seconds
    Then no view was unknown
