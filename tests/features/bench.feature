Feature: Experiments write complete result files
  Scenario Outline: A tiny run of <experiment> writes its figures and its plot
    When the experiment "<experiment>" runs in its tiny size
    Then its result file holds the seed, the parameters, rows and a summary
    And each row has "<columns>"
    And its plot is an image

    Examples:
      | experiment      | columns                                             |
      | data-path       | streams, tokens_per_second, microseconds_per_token  |
      | control-changes | accounts, accepted_per_second, in_force_seconds     |
      | month-end       | phase, ratio_to_bound, runs, duplicates             |
      | throughput      | scenario, policy, ratio_to_bound                    |
      | changes         | path, nodes, everywhere_max_seconds                 |

  Scenario: Load polls and heartbeats show in the cost of control
    When the experiment "control-nodes" runs in its tiny size
    Then its result file holds the seed, the parameters, rows and a summary
    And each row counts load polls and bytes to peers

  Scenario: An unknown experiment is refused by name
    When the experiment "no-such" runs in its tiny size
    Then it exits with 2 and lists the experiments

  Scenario: A load is the same for the same seed and stays in its bounds
    Given two loads drawn from seed 7 and one from seed 8
    Then the first two are equal and the third differs
    And a load written as a trace reads back the same
    And a load over its bounds is refused

  Scenario: The bound is the maximum flow over engines and links
    Given engines of the first half that run 3 and 2 requests a second
    And engines of the second half that run 4 and 4 requests a second
    Then the bound is 5 requests a second
    When an engine of all layers that runs 1 request a second joins
    Then the bound is 6 requests a second
    When every link from the first engine is too slow
    Then the bound is 3 requests a second

  Scenario: The same seed gives the same throughput
    Given two simulated loads of seed 3 and one of seed 4
    Then the first two are equal and the third differs
