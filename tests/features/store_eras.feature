Feature: A store that returns from an older copy
  Scenario: Answers without a valid era are safe
    Given a store whose answers are of era 3
    Then an answer of era 2 is rejected and counted
    And answers of eras "", "x" and "-1" and without one count as era 3
    When an answer of era 4 arrives
    Then an answer of era 3 is rejected and counted

  Scenario: A store without eras gives no rejections
    Given a store whose answers have no era
    Then the era is 0 and nothing is counted

  Scenario: A plan that the store lost stays in force and is written again
    Given a plan in force that replaced another one
    When the store returns with the plan before
    Then the newer plan stays in force
    And its author writes it again at once, on condition of the row in the store
    When the store returns without a plan
    Then the newer plan stays in force
    And its author writes it again at once, on condition that there is no row

  Scenario: A plan of an earlier era is replaced by a newer one with a lower version
    Given a plan in force that replaced another one
    When the store returns and another node has written a newer plan with a lower version
    Then that plan is in force

  Scenario: Servers that left do not return with an older copy of the list
    Given a planned fleet with a drain bound of 2000 milliseconds
    When one engine is listed as draining, another is removed and a third is back
    And the store returns with an older copy of the list
    Then the first is still draining, the second is not listed and the third is
    When a new run of each is listed
    Then both are ready

  Scenario: A node counts on no one's knowledge of it after the store returned
    Given 9 nodes that know each other and share the retry slack
    When a node reads rows of a new era
    Then it takes no part of the retry slack until it has renewed its row
    And it takes a newcomer's part then

  Scenario: A node that cannot read the rows of nodes in a new era asks at intervals
    Given a node whose reads of nodes' rows fail
    When rows of another table are of a new era for 10 seconds
    Then it has read the rows of nodes at most 6 times

  Scenario: Node processes go on with a store that returned from an older copy
    Given a system on the platform
    When a key is removed and an engine is lost after the store's copy was taken
    And the store returns from the copy and its writers write again
    Then the key is refused all the time
    And streams are served in each failure domain within 10 seconds
    When another engine is lost
    Then streams are served in each failure domain within 10 seconds
