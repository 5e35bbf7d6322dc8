Feature: A stage of a path is lost, without a network
  Scenario: Layers are spread so that each stage has room for tokens
    Given the engines of a site, planned and loaded
    Then each failure domain holds every layer once
    And each engine has room for 30000 tokens beside its layers
    And a path in the caller's failure domain runs every layer once and in order

  Scenario: A lost engine's layers go to few others, and nobody else moves
    Given the engines of a site, planned and loaded
    Then after the loss of any single engine every layer is held again
    And fewer than half of its chain's engines load anything
    And each engine has room for 12000 tokens beside its layers

  Scenario: Two engines of each failure domain are lost one after the other
    Given the engines of a site, planned and loaded
    When two engines of each failure domain are lost
    Then each failure domain holds every layer

  Scenario: A new engine takes a gap alone
    Given the engines of a site, planned and loaded
    When an engine of a kind is replaced by another one of that kind
    Then only the new one loads layers

  Scenario: An engine that holds the lost layers a second time takes them over
    Given the engines of a site, planned and loaded
    And engines beside the paths that hold layers a second time
    When an engine whose layers are held a second time is lost
    Then no engine loads layers
    And each failure domain holds every layer

  Scenario: Engines around a gap fill it sooner than one beside the paths
    Given the engines of a site, planned and loaded
    And engines beside the paths that hold layers a second time
    When an engine whose layers are held once is lost
    Then the engines beside the paths go on as they were
    And each failure domain holds every layer

  Scenario: Requests go round a lost stage before the plan is mended
    Given the engines of a site, planned and loaded
    When an engine of the caller's path falls silent
    Then the next path leaves it out and runs every layer once and in order

  Scenario: A request stays within its route's number of engines
    Given the engines of a site, planned and loaded
    When a request has begun at two engines
    Then its next path begins at one of them
    When one of them has ended
    Then its next path may begin anywhere

  Scenario: Engines keep layers that no other holds yet
    Then an engine that is to move keeps what only it holds
    And an engine never has more layers ordered, old and new, than it holds
