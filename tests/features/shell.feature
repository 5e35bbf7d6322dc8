Feature: Shell
  Scenario: A fault on one event neither ends the node nor stops the events behind it
    Given a shell whose controller fails on ticks
    When a tick is posted by a clock and an event comes up meanwhile
    Then the event is handled and 1 fault is counted

  Scenario: A fault reaches the task that posted its event, and no other
    Given a shell whose controller fails on ticks
    When a tick is posted by a task that waits for it
    Then the task sees the fault
    When an event is posted that brings up a tick
    Then the task that posted it sees no fault and 1 fault is counted
