Feature: Moves of running streams to other engines
  # Guards against two orders at once that leave open where a stream runs.
  Scenario: A stalled stream on a draining engine is moved by one order at a time
    Given a fleet of engines, planned and loaded
    When an engine that a stream uses drains and becomes unresponsive
    Then the stream was moved by one order at a time
