Feature: Router and naive policy on the same traces
  Scenario Outline: <trace>
    When trace "<trace>" runs through the router and through the naive policy
    Then every answer of both is complete and correct
    And the router's longest gap is at most <router_gap> ms, the naive one at least <naive_gap> ms
    And the router's longest first token is at most <router_first> ms, the naive one at least <naive_first> ms
    And the router generates at most <router_share> tokens per delivered token, the naive policy at least <naive_share>
    And both reproduce the same outcomes

    Examples:
      | trace      | router_gap | naive_gap | router_first | naive_first | router_share | naive_share |
      | killed     | 150        | 500       | 100          | 150         | 1.0          | 1.1         |
      | frozen     | 300        | 1000      | 450          | 1000        | 1.0          | 1.1         |
      | two-frozen | 600        | 2000      | 450          | 2000        | 1.0          | 1.2         |
      | slowed     | 300        | 300       | 100          | 300         | 1.0          | 1.0         |
      | mixed      | 60         | 100       | 100          | 200         | 1.0          | 1.0         |
      | nine-nodes | 100        | 60        | 120          | 90          | 1.0          | 1.0         |

  Scenario: A trace recorded by a node replays to the same commands
    When the recorded trace "recorded" is replayed
    Then every command equals the recorded one, and each kind occurs

  Scenario: A changed decision appears in the replay
    When the recorded trace "recorded" is replayed with the naive policy
    Then some commands differ

  Scenario: A node records its decisions, and the command line replays them
    Given a recording node with an engine killed while answers streamed
    When its trace is fetched and replayed on the command line
    Then the command exits with 0 and the trace has more than one attempt
