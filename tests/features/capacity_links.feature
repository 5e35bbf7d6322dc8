Feature: Datagrams of the shared view on loopback
  Scenario: Three nodes know the use of all engines over UDP
    Given 3 nodes' tasks with UDP sockets
    When each of these nodes starts requests
    Then within 3 seconds each of them knows the use of all engines
    When one of them stops and random datagrams arrive at the others
    Then the others still know their use 3 seconds later, and count what they dropped

  Scenario: A node whose port is in use goes on without a view
    Given 3 nodes' tasks with UDP sockets, of which one finds its port in use
    When each of these nodes starts requests
    Then within 3 seconds that node has said so once, and knows nothing of the others
    And the others take it for an average node

  # Guards against collectors that lose reports of domains with more than 320 nodes.
  Scenario: A collector reads 175 reports that arrive at once without long pauses
    Given a socket on loopback at which 175 datagrams have arrived
    Then all of them are read within 0.02 seconds
