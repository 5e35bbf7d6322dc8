Feature: Choice of engines
  Scenario: An engine with consecutive faults is left alone and probed later
    When an engine's circuit breaker opens
    Then no attempt goes to it until it is half open, and then one

  Scenario: A node works with a subset of many engines that covers the model
    When 600 engines of four layer ranges are listed to 9 nodes
    Then each node polls at most 12 engines a range, covers every layer, and nodes differ
    And when the engines of one range in a subset fall silent, others take their place

  Scenario: Prefix affinity fades with age and with gaps in the news
    Then words expected in a cache fall with the age and the gaps of its events
    And the memory kept for one engine's cache is bounded
