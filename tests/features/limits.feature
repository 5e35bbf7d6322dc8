Feature: Account limits across nodes
  Scenario Outline: Unused shares move to the node with the demand
    When one of <nodes> nodes receives three times the limit, then another one
    Then each admits over <part> of the limit while it is loaded
    And admissions in any second stay within 1.1 of the limit

    Examples:
      | nodes | part |
      | 3     | 0.95 |
      | 9     | 0.9  |

  Scenario: The share of a killed node is taken over
    When one of 3 nodes is killed while all receive more than the limit
    Then the others admit the whole limit again
    And admissions in any second stay within 1.1 of the limit

  Scenario: Partitioned nodes exceed a limit at most by the number of partitions
    When 9 nodes are partitioned in two while all receive more than the limit
    Then the limit holds while an unreachable node still counts
    And it is exceeded at most twofold after that
    And it holds again after the partition has healed

  Scenario: A division never exceeds the total
    Then any division by demand distributes the total and covers small demands first

  Scenario: A new home node grants only held shares until older grants expire
    Given a home node that has just taken over an account
    When two nodes request shares and one of them holds most of the limit
    Then the grants are the held share and the other's base share

  Scenario: Requests over a rate or a concurrency are refused with an accurate wait
    Given a single node with an account of 2 requests per second and concurrency 3
    Then a request after the stated wait is admitted and an earlier one is not
    And a fourth concurrent request is refused until one has ended

  Scenario: Queries about calls count against the rate
    Given a single node with an account of 2 requests per second and concurrency 3
    When the account queries a call's outcome 4 times at once
    Then 3 queries read the call's row and the other is refused as "account_rate"

  Scenario: One node of three serves more than its third
    Given three nodes with an account of 12 lookups a second
    When all lookups go to "node-1" until it admits over 6 a second
    Then "node-1" has counted refusals for "account_rate" with a Retry-After
