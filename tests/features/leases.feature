Feature: Leases with fencing numbers, and the orders sent under them
  Scenario: One node acquires the lease and orders the wanted deployment once
    Given 3 nodes, a table and an engine that checks fencing numbers
    When 30 seconds pass
    Then one node holds the lease with fencing number 1
    And the engine accepted one order and has the wanted deployment

  Scenario: A dead holder's lease is taken over after a full period, not before
    Given 3 nodes, a table and an engine that checks fencing numbers
    When 30 seconds pass
    And the holder crashes
    Then another node holds the lease with fencing number 2 after 10 to 16 seconds

  Scenario: A holder that shuts down releases its lease immediately
    Given 3 nodes, a table and an engine that checks fencing numbers
    When 30 seconds pass
    And the holder receives a request to shut down
    Then another node holds the lease with fencing number 2 after 0 to 5 seconds

  Scenario: A holder paused past its lease uses only a new fencing number
    Given 3 nodes, a table and an engine that checks fencing numbers
    When 30 seconds pass
    And the holder is paused for 40 seconds and its peers find it dead
    Then another node holds the lease with fencing number 2 after 0 to 16 seconds
    When the paused node resumes and its peers find it alive
    Then it holds no lease when it resumes
    And at most one node could use the lease at any time

  Scenario: A pause shorter than the lease also discards it
    Given 3 nodes, a table and an engine that checks fencing numbers
    When 30 seconds pass
    And the holder is paused for 3 seconds
    Then the same node holds the lease with fencing number 2 within 5 seconds

  Scenario: With the table down the lease expires and no node sends orders
    Given 3 nodes, a table and an engine that checks fencing numbers
    When 30 seconds pass
    And the table is down for 60 seconds
    Then no node holds the lease
    When the table is up again
    Then one node holds the lease within 20 seconds

  Scenario: A renewal without an answer is read back
    Given 3 nodes, a table and an engine that checks fencing numbers
    When 30 seconds pass
    And a renewal is stored and its answer is lost
    Then one node holds the lease with fencing number 1

  Scenario: A former holder's late order at an engine that ignores numbers is corrected
    Given 3 nodes, a table and an engine that ignores fencing numbers
    When 30 seconds pass
    And an old order for another version reaches the engine
    Then the engine has the wanted deployment again within 5 seconds

  Scenario Outline: Pauses, and late and lost writes and orders
    Then in 60 runs with faults and an engine that <checks>, no two nodes could use the lease at once and the wanted deployment is restored

    Examples:
      | checks                 |
      | checks fencing numbers |
      | ignores them           |

  Scenario: Real processes: a new version is rolled out past a paused node and a late order
    Given a system of three nodes with short leases and engines that ignore numbers
    When version "2" of the model is declared
    Then every engine is moved to version "2" by one node's orders
    When the ordering node is suspended past its lease
    And an old order for version "1" reaches an engine
    Then every engine is moved to version "2" by another node's orders
    And the ordering node holds no lease when it resumes
