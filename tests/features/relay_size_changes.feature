Feature: Changes relayed in the largest deployment, without a network
  Scenario Outline: <nodes> nodes learn of changes at once, with calls for each domain
    Given <nodes> nodes in <domains> failure domains, started within 0.3 seconds
    When the nodes run for 6 seconds
    And the configuration changes 25 times in 2 seconds
    Then each node has the configuration 0.5 seconds later
    And the store was called at most <calls> times for each failure domain

    Examples:
      | nodes | domains | calls |
      | 700   | 34      | 60    |
