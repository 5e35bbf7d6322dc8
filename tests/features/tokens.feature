Feature: Whole answers from processes that fail
  Scenario Outline: Answers go on after <fault>
    Given a system with three engines for each half of the layers
    When <fault> hits a stage while answers stream, with seeds 1 to <seeds>
    Then each answer is token for token what the model gives
    And the node counted retries of <reasons>

    Examples:
      | fault      | seeds | reasons                                            |
      | kill       | 3     | stage_failed, stream_cut, connect_failed           |
      | freeze     | 2     | stage_stalled                                      |
      | slow       | 2     | stage_slow, stage_stalled                          |
      | link       | 2     | stage_slow, stage_stalled                          |
      | cut        | 2     | stream_cut                                         |
      | kill-two   | 2     | stage_failed, stream_cut, connect_failed           |
      | freeze-two | 2     | stage_stalled                                      |

  Scenario: Answers go on at an engine that leaves
    Given a system with three engines for each half of the layers
    When leave hits a stage while answers stream, with seeds 1 to 1
    Then each answer is token for token what the model gives

  Scenario: Foreign, late and repeated lines reach no caller
    Given a system with three engines for each half of the layers
    And engines that repeat, cross and delay lines
    When 6 answers stream
    Then each answer is token for token what the model gives
    And the node counted drops of duplicate_token and crossed_token

  Scenario: An answer without a route left ends at once and says when to come back
    Given a system with three engines for each half of the layers
    When every engine of the second half is killed while an answer streams
    Then the answer ends with an error, a part of the right tokens and a time to retry
    And a new prompt is refused with Retry-After

  Scenario: A refusal says "not run" only where nothing ran
    Given a system with three engines for each half of the layers
    When the second half's engines are killed while a whole answer is made
    Then its refusal says that it was run "incomplete"
    When answers are asked for until the node knows that no route is left
    Then its refusal says that it was run "no"

  Scenario: A full engine is passed over
    Given a system with three engines for each half of the layers
    And engines "engine-0" and "engine-1" that are full
    When 6 answers stream
    Then each answer is token for token what the model gives
