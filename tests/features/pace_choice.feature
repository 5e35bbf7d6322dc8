Feature: Choice among servers in their slow start, without a network
  # Guards against a changed choice for services without the shared view.
  Scenario: A service without the shared view uses a returned server as before
    Given a plain service of which a server returns
    Then the returned server is chosen for each request

  # Guards against sending a returned server more than its pace allows.
  Scenario: A service with the shared view spares a returned server without places
    Given a plain service with the shared view of which a server returns
    Then the returned server is chosen for 1 of 3 requests at once
    And it is chosen where all others have been tried

  # Guards against an engine that gets no requests although it is the only one.
  Scenario: An engine without places starts a pipeline only where nothing else is left
    Given a fleet of engines with the shared view, planned and loaded
    When the first engine of the pipeline in use starts anew and has no place
    Then pipelines begin at another engine
    And they begin at it again if no other engine may be used

  # Guards against engines whose slow start is over before they have their layers.
  Scenario: An engine begins its slow start once it has layers
    Given a fleet of engines with the shared view, planned and loaded
    When a new engine is listed without layers and gets them 20 seconds later
    Then it has its slow start

  # Guards against a system that starts with all engines in their slow start.
  Scenario: Engines listed before the first request have no slow start
    Given a fleet of engines with the shared view, planned and loaded at a cold start
    Then no engine is in its slow start
