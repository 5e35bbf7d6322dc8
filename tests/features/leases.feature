Feature: Leases with fencing numbers, and the orders under them
  Scenario: One node takes the lease and orders the wanted state once
    Given 3 nodes, a table and an engine that checks fencing numbers
    When 30 seconds pass
    Then one node holds the lease with fencing number 1
    And the engine took one order and is as wanted

  Scenario: A dead holder's lease is taken over after a full period, not before
    Given 3 nodes, a table and an engine that checks fencing numbers
    When 30 seconds pass
    And the holder dies
    Then another node holds the lease with fencing number 2 after 10 to 16 seconds

  Scenario: A holder that shuts down hands its lease over at once
    Given 3 nodes, a table and an engine that checks fencing numbers
    When 30 seconds pass
    And the holder is told to shut down
    Then another node holds the lease with fencing number 2 after 0 to 5 seconds

  Scenario: A holder that was paused past its lease acts under a new number only
    Given 3 nodes, a table and an engine that checks fencing numbers
    When 30 seconds pass
    And the holder is paused for 40 seconds and held dead meanwhile
    Then another node holds the lease with fencing number 2 after 0 to 16 seconds
    When the paused node wakes and is held alive
    Then it holds nothing as it wakes
    And at most one node could act at any time

  Scenario: A pause within the lease gives it up as well
    Given 3 nodes, a table and an engine that checks fencing numbers
    When 30 seconds pass
    And the holder is paused for 3 seconds
    Then the same node holds the lease with fencing number 2 within 5 seconds

  Scenario: With the table down the lease runs out and nobody acts
    Given 3 nodes, a table and an engine that checks fencing numbers
    When 30 seconds pass
    And the table is down for 60 seconds
    Then nobody holds the lease
    When the table is up again
    Then one node holds the lease within 20 seconds

  Scenario: A renewal without an answer is read back
    Given 3 nodes, a table and an engine that checks fencing numbers
    When 30 seconds pass
    And a renewal takes effect and its answer is lost
    Then one node holds the lease with fencing number 1

  Scenario: An old holder's late order at an engine that ignores numbers is mended
    Given 3 nodes, a table and an engine that ignores fencing numbers
    When 30 seconds pass
    And an old order for another version reaches the engine
    Then the engine is as wanted again within 5 seconds

  Scenario Outline: Pauses, late and lost writes and orders
    Then in 60 runs with faults, at an engine that <checks>, no two nodes could act at once and the wanted state is restored

    Examples:
      | checks                 |
      | checks fencing numbers |
      | ignores them           |

  Scenario: Real processes: a new version is rolled out, past a paused node and a late order
    Given a system of three nodes with short leases and engines that ignore numbers
    When version "2" of the model is declared
    Then every engine comes to version "2" by one node's orders
    When the node that ordered is suspended past its lease
    And an old order for version "1" reaches an engine
    Then every engine comes to version "2" by another node's orders
    And the node that ordered holds no lease as it goes on
