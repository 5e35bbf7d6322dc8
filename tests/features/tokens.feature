Feature: Complete answers from processes that fail
  Scenario Outline: Answers continue after <fault>
    Given a system with three engines for each half of the layers
    When <fault> hits a stage while answers stream, with seeds 1 to <seeds>
    Then each answer equals the model's output token for token
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

  Scenario: Answers continue when an engine leaves
    Given a system with three engines for each half of the layers
    When leave hits a stage while answers stream, with seeds 1 to 1
    Then each answer equals the model's output token for token

  Scenario: Foreign, late and repeated lines reach no caller
    Given a system with three engines for each half of the layers
    And engines that repeat, misroute and delay lines
    When 6 answers stream
    Then each answer equals the model's output token for token
    And the node counted drops of duplicate_token and crossed_token

  Scenario: An answer without a remaining route ends at once with a time to retry
    Given a system with three engines for each half of the layers
    When every engine of the second half is killed while an answer streams
    Then the answer ends with an error, a prefix of the correct tokens and a time to retry
    And a new prompt is refused with Retry-After

  Scenario: A refusal states "not run" only if nothing ran
    Given a system with three engines for each half of the layers
    When the second half's engines are killed while a complete answer is generated
    Then its refusal states that it was run "incomplete"
    When prompts are sent until the node finds that no route is left
    Then its refusal states that it was run "no"

  Scenario: A full engine is avoided
    Given a system with three engines for each half of the layers
    And engines "engine-0" and "engine-1" that are full
    When 6 answers stream
    Then each answer equals the model's output token for token
