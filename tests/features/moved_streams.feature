Feature: Moves of running streams to other engines
  # Guards against two orders at once that leave open where a stream runs.
  Scenario: A stalled stream on a draining engine is moved by one order at a time
    Given a fleet of engines, planned and loaded
    When an engine that a stream uses drains and becomes unresponsive
    Then the stream was moved by one order at a time

  # Guards against counts of a request that stay for as long as the node runs.
  Scenario: A stream that ends while it is moved leaves nothing in the counts
    Given a fleet of engines, planned and loaded
    When a stream ends while an order moves it to another engine
    Then no request is left in the counts, here or for other nodes

  # Guards against losing a stream whose move is carried out after its order was given up.
  Scenario Outline: A stream that <rule> outlasts a move that comes late
    Given a system on the platform
    And a spare engine that holds layers of its failure domain's pipeline
    And a route whose streams <rule>
    And engines that carry out moves half a second late
    When the engine that has a spare is killed during a stream
    Then the answer has each event once and in order
    And an order to move the stream was given up
    And <runs>

    Examples:
      | rule                | runs                             |
      | may be repeated     | the stream ran at most twice      |
      | may not be repeated | the stream ran once and was moved |
