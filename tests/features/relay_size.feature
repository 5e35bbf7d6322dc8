Feature: Relay of the store's rows in the largest deployment, without a network
  Scenario Outline: The store's calls grow with failure domains, not with <nodes> nodes
    Given <nodes> nodes in <domains> failure domains, started within 0.3 seconds
    Then no second had more than 2000 calls to the store
    And each node has the configuration 2 seconds after the start
    When the nodes run for 6 seconds
    And the nodes run for 10 seconds
    Then the store was called at most 4 times a second for each failure domain

    Examples:
      | nodes | domains |
      | 700   | 34      |

  Scenario Outline: <nodes> nodes learn of changes at once, with calls for each domain
    Given <nodes> nodes in <domains> failure domains, started within 0.3 seconds
    When the nodes run for 6 seconds
    And the configuration changes 25 times in 2 seconds
    Then each node has the configuration 0.5 seconds later
    And the store was called at most <calls> times for each failure domain

    Examples:
      | nodes | domains | calls |
      | 700   | 34      | 60    |

  Scenario Outline: <nodes> nodes spare a store that is away and find it when it is back
    Given <nodes> nodes in <domains> failure domains, started within 0.3 seconds
    When the nodes run for 3 seconds
    And the store is away for 9 seconds
    Then no second had more than 2000 calls to the store
    And in its last 4 seconds away it was called at most 20 times a second for each domain and 60 times besides
    And each node has the configuration 1.0 seconds later
    And no node took its rows for newer than they were

    Examples:
      | nodes | domains |
      | 700   | 34      |
