Feature: Account limits over the nodes
  Scenario Outline: Unused share moves to the node with the demand
    When one of <nodes> nodes is asked for three times the limit, then another one
    Then each gets over <part> of the limit in its time
    And no second admits over 1.1 of the limit

    Examples:
      | nodes | part |
      | 3     | 0.95 |
      | 9     | 0.9  |

  Scenario: The share of a killed node is taken over
    When one of 3 nodes is killed while all are asked for more than the limit
    Then the others admit the whole limit again
    And no second admits over 1.1 of the limit

  Scenario: Nodes that part overshoot by no more than the number of parts
    When 9 nodes part in two while all are asked for more than the limit
    Then the limit holds while a silent node still counts
    And it is exceeded at most twofold after that
    And it holds again after the parts have joined

  Scenario: A division never gives out more than there is
    Then any division by demand gives out the total and serves small demands first

  Scenario: A new home node repeats what nodes hold until older grants expire
    Given a home node that has just taken over an account
    When two nodes ask and one of them holds most of the limit
    Then the grants add up to what was held and the other's base share

  Scenario: Requests over a rate or a concurrency are refused with a true wait
    Given a node alone with an account of 2 requests a second and 3 at once
    Then a request that waits as told is admitted and one that comes earlier is not
    And a fourth request at once is refused until one has ended

  Scenario: Questions after calls count against the rate
    Given a node alone with an account of 2 requests a second and 3 at once
    When the account asks 4 times at once what became of a call
    Then 3 questions read the call's row and the other is refused as "account_rate"

  Scenario: One node of three serves more than its third
    Given three nodes with an account of 12 lookups a second
    When all lookups go to "node-1" until it admits over 6 a second
    Then "node-1" has counted refusals for "account_rate" with a Retry-After
