Feature: Experiments write whole result files
  Scenario: A tiny run of the data path writes its figures and its plot
    When the experiment "data-path" runs in its tiny size
    Then its result file holds the seed, the parameters, rows and a summary
    And each row has "streams, tokens_per_second, microseconds_per_token"
    And its plot is an image

  Scenario: An unknown experiment is refused by name
    When the experiment "no-such" runs in its tiny size
    Then it exits with 2 and names the experiments there are

  Scenario: A load is the same for the same seed and stays in its bounds
    Given two loads drawn from seed 7 and one from seed 8
    Then the first two are the same and the third is another
    And a load written as a trace reads back the same
    And a load over its bounds is refused
