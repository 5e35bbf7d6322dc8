Feature: Selection of engines
  Scenario: An engine with consecutive faults is avoided and probed later
    When an engine's circuit breaker opens
    Then no attempt goes to it until the breaker is half-open, and then only one

  Scenario: A node uses a subset of many engines that covers the model
    When 600 engines of four layer ranges are listed to 9 nodes
    Then each node polls up to 12 engines per range, covers each layer, and subsets differ
    And when one range's engines in a subset stop responding, others replace them

  Scenario: Prefix affinity decreases with the age of cache events and gaps in them
    Then the estimate of cached words decreases with age and gaps of cache events
    And the memory used to track one engine's cache is bounded
