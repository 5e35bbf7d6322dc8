Feature: Shell
  Scenario: A fault on one event stops neither the node nor the queued events
    Given a shell whose controller fails on ticks
    When a timer posts a tick whose handler posts an event
    Then the event is handled and 1 fault is counted

  Scenario: A fault reaches the task that posted its event, and no other
    Given a shell whose controller fails on ticks
    When a tick is posted by a task that waits for it
    Then the task sees the fault
    When an event is posted whose handler posts a tick
    Then the task that posted it sees no fault and 1 fault is counted
