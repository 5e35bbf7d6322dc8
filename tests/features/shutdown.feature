Feature: Shutdown of a node
  Scenario: Nodes are replaced in turn under traffic and no request is cut
    Given a system of three nodes that drain for a second, with traffic
    And a long stream runs at each node
    When each node in turn is stopped and started again
    Then each exited with 0 within the time that the settings allow
    And each long stream was complete
    And no request failed

  Scenario: A node that drains is not ready, takes requests and closes connections
    Given a system of two nodes that drain for 20 seconds
    When the node node-1 is told to stop
    Then the node node-1 answers /readyz with 503 and closes connections
    And the node node-2 shows node-1 as leaving
    When the node node-1 is told to stop again
    Then the node node-1 exits with 0 before its drain would have ended

  Scenario: A request that does not end does not block the shutdown
    Given a system of one node that gives running requests a second
    When the node is told to stop during a prompt of 1000 tokens
    Then the node node-1 exits with 0 and the prompt was cut

  Scenario: Callers of a killed node are answered by another node
    Given a system of three nodes that drain for a second, with traffic
    When the node node-2 is killed under traffic
    Then only requests at node-2 failed, and traffic goes on
    And the others count 2 live nodes

  Scenario: With the store down, nodes serve prompts and lookups and refuse bookings
    Given a system of three nodes that drain for a second
    When the table service is down
    Then prompts and lookups are answered at each node
    And a booking is refused as not run
    When the list of VMs is down too
    Then prompts and lookups are answered at each node
