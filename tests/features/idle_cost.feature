Feature: Work that each node repeats on timers
  # Guards against timers of each node that search all servers or all nodes each time.
  Scenario Outline: <task> costs no more in a ten times larger fleet
    When a hundred seconds of <task> are counted with 20 and with 200 <others>
    Then the larger fleet takes less than 1.5 times as many calls

    Examples:
      | task                     | others  |
      | the search for ended runs | servers |
      | the choice of a source   | nodes   |
      | the turn at orders       | nodes   |

  # Guards against predecessors that are remembered beyond a silence or a change of nodes.
  Scenario: A node's source follows silences and nodes at once
    Given a node behind 20 others that pass on rows
    When its source gives no rows
    Then another node is its source until the silence has ended
    And after a change of nodes, none of those that left is its source

  # Guards against ends of servers that are overlooked since the list was searched before.
  Scenario: A later run at the address of a broken one is found whatever came first
    Given a list of 20 servers
    When a request breaks on a run, before or after a later run of it is listed
    Then the end of the broken run is found each time
