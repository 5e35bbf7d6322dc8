Feature: What was accepted is in force everywhere, and never an older one

  Scenario: Any history of faults leaves one order of changes, in force everywhere
    Given the product's policy
    When any history of changes, faults, restarts and races runs
    Then no check is broken

  Scenario Outline: The same checks find what a naive policy breaks
    Given a policy that <policy>
    When any history of changes, faults, restarts and races runs
    Then a check is broken: <breach>

    Examples:
      | policy                                  | breach      |
      | installs what comes last                | went back   |
      | takes a write without answer for failed | refused     |
      | writes without a condition              | two winners |

  Scenario: Two operators race on one base
    Given a fleet of 5 nodes
    When two operators offer a change on the same base at two nodes
    Then one is accepted, and the other is told the number, author and sections that moved
    And the accepted change is in force on every node

  Scenario: A write without an answer is settled by the change id
    Given a fleet of 3 nodes
    When a change's write takes effect without an answer
    Then it is accepted once, also when asked again at each node
    When another change asks with the same id
    Then that one is refused as "change_id_reused"

  Scenario: A change that is retried after its row was removed is not called refused
    Given a fleet of 3 nodes
    When 20 changes are accepted and the first is asked again
    Then the repeated one is refused as "base_forgotten"

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

  Scenario Outline: The node asked knows of <count> nodes what it does not hear itself
    Given a fleet of <count> nodes that hear 8 neighbours each
    When a change is accepted while the next <paused> nodes are paused
    Then the node asked has word of every node but the paused within 7 seconds
    When the paused go on
    Then the node asked has word of every node but none within 2 seconds

    Examples:
      | count | paused |
      | 24    | 0      |
      | 24    | 2      |
      | 120   | 60     |

  Scenario: More paused nodes than a word names are never taken for confirmed
    Given a fleet of 240 nodes that hear 8 neighbours each
    When a change is accepted while the last 210 nodes are paused
    Then the node asked has word of no paused node after 7 seconds

  Scenario: A node that was cut off comes back
    Given a fleet of 5 nodes
    When a node is cut off during 20 changes and comes back
    Then every node has the newest configuration

  Scenario: A new node takes the highest from its peers while the store is down
    Given a fleet of 5 nodes
    When 20 changes are accepted, the store goes down and a node restarts
    Then it is not ready before it has the newest number

  Scenario: A new node that reaches neither store nor peers stays not ready
    Given a fleet of 3 nodes
    When a change is accepted and a node restarts cut off from all
    Then it stays not ready
    When it is no longer cut off
    Then every node has the newest configuration

  Scenario: Nodes that all start while the store is down stay not ready
    Given a fleet of 3 nodes
    When a change is accepted and every node restarts while the store is down
    Then none becomes ready until the store is back

  Scenario: The store keeps few changes, and a new node needs no more
    Given a fleet of 3 nodes
    When 40 changes are accepted one after the other
    Then the store holds at most 15 rows of changes and one snapshot
    And a node that restarts has the newest configuration

  Scenario: A large change goes through an object, whole or not at all
    Given a fleet of 3 nodes
    When a change of 2000 sections is offered while the object store fails, then again
    Then the first is refused and the second is in force on every node

  Scenario: A push reaches each of 700 nodes once, through few messages each
    Given 700 nodes in 9 regions and 34 failure domains
    When a change is pushed from each of 20 nodes
    Then each other node receives it once, and that one at most once
    And no node sends more than 8 messages, over at most 6 hops
    And at most 24 messages cross regions

  Scenario: Applying change by change declares what reading everything does
    Then any sequence of changes declares the same as the sections it leaves

  Scenario: Any bytes from a peer give an event or an error
    Then any message is decoded or refused

  Scenario: Any INI text gives declarations or problems
    Then any declaration file is read or refused

  Scenario: Two operators race by the command line
    Given 3 running nodes with the basic configuration
    When two operators apply different files on the same base at two nodes
    Then one command ends with 0 and names 3 of 3 nodes
    And the other ends with 1 and names what moved, by whom and the number

  Scenario Outline: A write of a running node <fault>
    Given 3 running nodes with the basic configuration
    And the store <fault> once
    When an operator applies a file
    Then it is accepted once and in force on 3 of 3 nodes

    Examples:
      | fault                   |
      | loses the answer        |
      | loses the write         |

  Scenario: More running nodes than one of them hears
    Given 20 running nodes with the basic configuration
    When an operator applies a file
    Then it is accepted once and in force on 20 of 20 nodes

  Scenario: A paused node goes on with the newest
    Given 3 running nodes with the basic configuration
    When "node-3" is paused while 5 changes are applied
    And "node-3" goes on
    Then every running node has the newest number and one digest

  Scenario: The store is down for a while, and a node restarts meanwhile
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
    Then no node was seen to go back, or two digests of one number
    And each number has one change, and no change that was refused
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
