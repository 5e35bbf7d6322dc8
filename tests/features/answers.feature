Feature: Decisions on tokens under an injected clock
  Scenario: Whatever arrives, each caller gets a prefix of the right tokens
    When engines lose, repeat, cross, delay and cut lines at random while they fail
    Then every caller got each position once, in order, and every request ended

  Scenario: Each kind of wrong line is counted by its reason
    When engines give wrong lines of every kind
    Then each drop reason was counted and every answer is whole

  Scenario: A lost line leads to another attempt
    When one line of an answer is lost
    Then the answer is whole and a retry of "token_gap" was counted
    And it went on within 150 ms

  Scenario: Healthy stages are kept when one stage freezes
    When the second stage of an answer freezes
    Then the next attempt keeps the first stage and goes on from the next position
    And the replaced attempt was cancelled at its engines

  Scenario: A request that cannot be whole by its deadline is refused at once
    When a prompt needs more time than its deadline leaves
    Then it is refused as "deadline_unreachable" before any attempt

  Scenario: An answer whose deadline passes ends at once
    When all engines freeze until the deadline of an answer passes
    Then it ended as "deadline_passed" within one tick

  Scenario: Retries stop when the budget is spent
    When every line of every engine is lost for a while
    Then answers end as "retry_budget_spent" and engines get a bounded number of attempts

  Scenario: A prompt that every engine breaks on does not shut the engines off
    When an engine cuts the stream of each attempt of one prompt before a token
    Then that answer ends as "retry_budget_spent" after at most 12 attempts
    And another prompt is answered
