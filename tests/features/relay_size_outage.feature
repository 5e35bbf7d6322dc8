Feature: Outages of the store in the largest deployment, without a network
  Scenario Outline: <nodes> nodes spare a store that is away and find it when it is back
    Given <nodes> nodes in <domains> failure domains, started within 0.3 seconds
    When the nodes run for 3 seconds
    And the store is away for 9 seconds
    Then no second had more than 2000 calls to the store
    And in its last 4 seconds away it was called at most 10 times a second for each domain and 25 times besides
    And each node has the configuration 1.0 seconds later
    And no node took its rows for newer than they were

    Examples:
      | nodes | domains |
      | 83    | 3       |
      | 700   | 34      |
