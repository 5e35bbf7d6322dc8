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
