Feature: Full, slow and unresponsive engines, without a network
  Scenario: A full engine is avoided briefly and stays in the plan
    Given a fleet of engines, planned and loaded
    When an engine refuses requests for 5 seconds and responds to probes
    Then no plan is written
    And it gets requests again shortly after the last refusal

  Scenario: An unresponsive engine is removed from the plan
    Given a fleet of engines, planned and loaded
    When an engine of the caller's pipeline becomes unresponsive
    Then a plan without it is written within a second

  Scenario: A node that can reach no engine keeps the plan
    Given a fleet of engines, planned and loaded
    When 12 engines become unresponsive at once
    Then no plan is written

  Scenario: A stream that is only slow continues
    Then a stream that stalled for 1.5 seconds is checked and not aborted
    And one with an unavailable engine is moved after 0.1 seconds
    And one whose engines are only full continues
    And one whose events are overdue by 60 milliseconds has its engines probed
    And one without a first event has its engines probed after 0.13 seconds
    And one whose first event is late continues while no later stream has begun
    And one overtaken by later streams of the same engine is aborted
    And one that stalled for longer than its caller waits is aborted

  Scenario: An engine that responds late is avoided and not dead
    Given a fleet of engines, planned and loaded
    When the first engine of a stalled pipeline responds to probes after 0.1 seconds
    Then it is unavailable to streams
    And it is not classified as dead

  Scenario: An engine that responds to no probe of a stalled pipeline is dead
    Given a fleet of engines, planned and loaded
    When the first engine of a stalled pipeline responds to no probe
    Then it is unavailable to streams
    And it is classified as dead
