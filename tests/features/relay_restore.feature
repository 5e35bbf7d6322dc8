Feature: Relay in the largest deployment when the store returns from an older copy
  Scenario Outline: <nodes> nodes follow a store that returns from an older copy
    Given <nodes> nodes in <domains> failure domains, started within 0.3 seconds
    When the nodes run for 3 seconds
    And the store returns from a copy that is 3 seconds old, and its writers write again
    Then each node has the configuration 2.8 seconds later
    And each node has written its row again 8 seconds later
    And no node took its rows for newer than they were
    And no second had more than 2000 calls to the store

    Examples:
      | nodes | domains |
      | 700   | 34      |
