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

  # Guards against streams that begin at a leaving engine and have to be moved.
  Scenario: An engine without places goes before those that are leaving
    Given a fleet of engines with the shared view, planned and loaded
    When the first engine of the pipeline in use starts anew and has no place
    And all other first engines have begun to leave
    Then pipelines begin at it as without a pace

  # Guards against a slow start that keeps requests from being sent to another domain.
  Scenario: Requests may be sent to another domain while an engine has its slow start
    Given a fleet of engines with the shared view, planned and loaded
    When the first engine of the pipeline in use starts anew and has no place
    Then the choice by the view may still send requests to another domain

  # Guards against servers that are spared for good, and against unbounded places.
  Scenario: An engine of another failure domain that keeps rejecting is spared for 10 s
    Given a fleet of engines with the shared view, planned and loaded
    When an engine of another domain starts anew and rejects a request each second
    Then it may be used here after 10 seconds, and for 2000 seconds

  # Guards against places that shrink, and servers shown as full, as one leaves.
  Scenario Outline: Only a rejection for lack of room ends the growth of places
    Given a plain service with the shared view of which a server returns
    When the returned server refuses a request with <refusal>
    Then it is taken for full: <is_full>

    Examples:
      | refusal                | is_full |
      | 503                    | yes     |
      | 429                    | yes     |
      | 503 as it leaves       | no      |
      | 503 and a time to wait | no      |
      | 421                    | no      |

  # Guards against a cost of each request that grows with all engines.
  Scenario: Requests compare first engines only while a whole domain starts
    Given a fleet of engines with the shared view, planned and loaded
    When 353 engines start in this domain, 30 of them first ones
    Then the choice of a pipeline asks for the use of 30 engines

  # Guards against engines whose slow start is over before they have their layers.
  Scenario: An engine begins its slow start once it has layers
    Given a fleet of engines with the shared view, planned and loaded
    When a new engine is listed without layers and gets them 20 seconds later
    Then it has its slow start

  # Guards against a system that starts with all engines in their slow start.
  Scenario: Engines listed before the first request have no slow start
    Given a fleet of engines with the shared view, planned and loaded at a cold start
    Then no engine is in its slow start

  # Guards against a changed choice where the settings do not ask for it.
  Scenario Outline: Servers have a slow start only where the settings say so
    Given the settings of a node with "<lines>"
    Then its new servers have a slow start: <has_slow_start>

    Examples:
      | lines                     | has_slow_start |
      |                           | no             |
      | [pace] slow_start = false | no             |
      | [pace] slow_start = true  | yes            |

  Scenario: The reference of a node's settings names the slow start
    Then docs/forwarding-settings.md says that slow_start is false
