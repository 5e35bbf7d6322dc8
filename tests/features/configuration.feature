Feature: Accepted configuration changes are in force on all nodes and never revert

  Scenario: After any history of faults, one order of changes is in force on all nodes
    Given the product's policy
    When any history of changes, faults, restarts and races runs
    Then no check fails

  Scenario Outline: The same checks detect the faults of naive policies
    Given a policy that <policy>
    When any history of changes, faults, restarts and races runs
    Then a check fails with: <breach>

    Examples:
      | policy                                  | breach      |
      | installs entries regardless of number   | went back   |
      | treats writes without answer as failed  | refused     |
      | writes without a condition              | two winners |

  Scenario: Two operators propose changes on the same base
    Given a fleet of 5 nodes
    When two operators propose changes on the same base at two nodes
    Then one is accepted, and the other's refusal names its number, author and sections
    And the accepted change is in force on every node

  Scenario: The change id resolves a write without an answer
    Given a fleet of 3 nodes
    When a change's write takes effect without an answer
    Then it is accepted once, also when proposed again at each node
    When another change is proposed with the same id
    Then that change is refused as "change_id_reused"

  Scenario: A retry after the change's row was removed is not reported as rejected
    Given a fleet of 3 nodes
    When 20 changes are accepted and the first is proposed again
    Then the repeated change is refused as "base_forgotten"

  Scenario Outline: A change reaches every node while <missing> fails
    Given a fleet of 9 nodes
    When a change is accepted while <missing> fails
    Then it is in force on every node within <seconds> seconds

    Examples:
      | missing                  | seconds |
      | nothing                  | 0.5     |
      | the push                 | 1.5     |
      | every message            | 3       |
      | the store after the push | 0.5     |

  Scenario Outline: The proposing node gets confirmations of <count> nodes, not only of neighbours
    Given a fleet of <count> nodes with 8 heartbeat neighbours each
    When a change is accepted while the next <paused> nodes are paused
    Then the proposing node has confirmations of all nodes but the paused within 7 seconds
    When the paused nodes are resumed
    Then the proposing node has confirmations of all nodes but none within 2 seconds

    Examples:
      | count | paused |
      | 24    | 0      |
      | 24    | 2      |
      | 120   | 60     |

  Scenario: Paused nodes that a confirmation does not name are not recorded as confirmed
    Given a fleet of 240 nodes with 8 heartbeat neighbours each
    When a change is accepted while the last 210 nodes are paused
    Then the proposing node has no confirmation of a paused node after 7 seconds

  Scenario: A node that was cut off catches up after reconnecting
    Given a fleet of 5 nodes
    When a node is cut off during 20 changes and reconnects
    Then every node has the newest configuration

  Scenario: A new node installs its peers' highest number while the store is down
    Given a fleet of 5 nodes
    When 20 changes are accepted, the store goes down and a node restarts
    Then it is not ready before it has the newest number

  Scenario: A new node that reaches neither the store nor peers does not become ready
    Given a fleet of 3 nodes
    When a change is accepted and a node restarts without any connection
    Then it does not become ready
    When it is no longer cut off
    Then every node has the newest configuration

  Scenario: Nodes that all start while the store is down do not become ready
    Given a fleet of 3 nodes
    When a change is accepted and every node restarts while the store is down
    Then no node becomes ready until the store is available

  Scenario: The store keeps a bounded number of changes, sufficient for a new node
    Given a fleet of 3 nodes
    When 40 changes are accepted one after the other
    Then the store holds at most 15 rows of changes and one snapshot
    And a node that restarts has the newest configuration

  Scenario: A large change is stored as an object, completely or not at all
    Given a fleet of 3 nodes
    When a change of 2000 sections is proposed while the object store fails, then again
    Then the first is refused and the second is in force on every node

  Scenario: A push reaches each of 700 nodes once, with few messages per node
    Given 700 nodes in 9 regions and 34 failure domains
    When a change is pushed from each of 20 nodes
    Then each other node receives it once, and the origin at most once
    And no node sends more than 8 messages, over at most 6 hops
    And at most 24 messages cross regions

  Scenario: Applying changes one by one gives the same declarations as reading all sections
    Then any sequence of changes gives the same declarations as its resulting sections

  Scenario: Any bytes from a peer result in an event or an error
    Then any message is decoded or refused

  Scenario: Any INI text results in declarations or problems
    Then any declaration file is read or refused

  Scenario: Two operators apply files on the same base through the command line
    Given 3 running nodes with the basic configuration
    When two operators apply different files on the same base at two nodes
    Then one command ends with 0 and names 3 of 3 nodes
    And the other ends with 1 and names the accepted sections, author and number

  Scenario Outline: A write of a running node <fault>
    Given 3 running nodes with the basic configuration
    And the store <fault> once
    When an operator applies a file
    Then it is accepted once and in force on 3 of 3 nodes

    Examples:
      | fault                   |
      | loses the answer        |
      | loses the write         |

  Scenario: More running nodes than heartbeat neighbours of one
    Given 20 running nodes with the basic configuration
    When an operator applies a file
    Then it is accepted once and in force on 20 of 20 nodes

  Scenario: A resumed node installs the newest configuration
    Given 3 running nodes with the basic configuration
    When "node-3" is paused while 5 changes are applied
    And "node-3" is resumed
    Then every running node has the newest number and one digest

  Scenario: A node restarts while the store is down
    Given 3 running nodes with the basic configuration
    When the store goes down
    Then a change is refused as "store_unavailable"
    When "node-3" is killed and started again
    Then it was never ready with an older number
    When the store comes back
    Then a change is accepted and in force on 3 of 3 nodes

  Scenario: Nine nodes under races, pauses and kills
    Given 9 running nodes with the basic configuration
    When operators race at random nodes while nodes are paused, killed and restarted
    Then no node's number decreased and no number had two digests
    And each number has one change, and no refused change has a number
    And every running node has the newest number and one digest

  Scenario: A server is drained, an account's key rotated and a template retired
    Given 3 running nodes with the basic configuration
    When an operator drains "engine-1"
    Then it is leaving on every node
    When an operator adds "engine-1" again
    Then it is not leaving on any node
    When an operator rotates an account's key
    Then the old and the new key serve, then the new one alone
    When an operator retires a template that is in use
    Then the command ends with 1 and names the account
