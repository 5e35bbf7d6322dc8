Feature: Loss of a pipeline stage, without a network
  Scenario: Layers are distributed so that each stage has token capacity
    Given a fleet of engines, planned and loaded
    Then each failure domain holds every layer once
    And each engine has capacity for 30000 tokens beside its layers
    And a pipeline in the caller's failure domain runs every layer once and in order

  Scenario: A lost engine's layers go to few others, and the rest keep their spans
    Given a fleet of engines, planned and loaded
    Then after the loss of any single engine every layer is held again
    And fewer than half of its chain's engines load anything
    And each engine has capacity for 12000 tokens beside its layers

  Scenario: Two engines of each failure domain are lost one after the other
    Given a fleet of engines, planned and loaded
    When two engines of each failure domain are lost
    Then each failure domain holds every layer

  Scenario: A replacement engine fills a gap alone
    Given a fleet of engines, planned and loaded
    When an engine of a kind is replaced by another one of that kind
    Then only the new one loads layers

  Scenario: An engine with a second copy of the lost layers takes over
    Given a fleet of engines, planned and loaded
    And engines outside the chains that hold a second copy of layers
    When an engine whose layers have a second copy is lost
    Then no engine loads layers
    And each failure domain holds every layer

  Scenario: Engines around a gap fill it in preference to one outside the chains
    Given a fleet of engines, planned and loaded
    And engines outside the chains that hold a second copy of layers
    When an engine whose layers have no second copy is lost
    Then the engines outside the chains are unchanged
    And each failure domain holds every layer

  Scenario: Requests avoid a lost stage before the plan is repaired
    Given a fleet of engines, planned and loaded
    When an engine of the caller's pipeline becomes unresponsive
    Then the next pipeline excludes it and runs every layer once and in order

  Scenario: A request stays within its route's number of engines
    Given a fleet of engines, planned and loaded
    When a request has begun at two engines
    Then its next pipeline begins at one of them
    When one of them has ended
    Then its next pipeline may begin anywhere

  # Guards against a third engine for a request whose first one was missing in the list
  # for a moment.
  Scenario: An engine whose entry lapses during a run counts as one of the request's
    Given a fleet of engines, planned and loaded
    When a stream's engine loses its entry while its run breaks, and a second run breaks
    Then its third run begins at one of these two engines

  Scenario: Engines keep layers that no other engine holds yet
    Then an engine with a new span keeps the layers that only it holds
    And old and ordered layers together never exceed what an engine can hold

  # Guards against engines that stay empty because the plan was compared with the list
  # before the first model request.
  Scenario: Engines that no chain needs hold layers once requests have begun
    Given a fleet of engines whose first model request comes after 10 seconds
    Then engines outside the chains hold a second copy of layers within 5 seconds
