Feature: Delivery of tokens under an injected clock
  Scenario: Each caller gets a prefix of the correct tokens whatever engines send
    When failing engines randomly lose, repeat, misroute, delay and cut lines
    Then every caller got each position once, in order, and every request ended

  Scenario: Each kind of invalid line is counted under its reason
    When engines send invalid lines of every kind
    Then each drop reason was counted and every answer is complete

  Scenario: A lost line leads to another attempt
    When one line of an answer is lost
    Then the answer is complete and a retry of "token_gap" was counted
    And it resumed within 150 ms

  Scenario: Healthy stages are kept when one stage freezes
    When the second stage of an answer freezes
    Then the next attempt keeps the first stage and resumes at the next position
    And the replaced attempt was cancelled at its engines

  Scenario: A request that cannot complete by its deadline is refused at once
    When a prompt needs more time than its deadline leaves
    Then it is refused as "deadline_unreachable" before any attempt

  Scenario: An answer whose deadline passes ends at once
    When all engines freeze until the deadline of an answer passes
    Then it ended as "deadline_passed" within one tick

  Scenario: Retries stop when the budget is spent
    When every line of every engine is lost for a while
    Then answers end as "retry_budget_spent" and engines get a bounded number of attempts

  Scenario: A prompt that fails on every engine does not open their circuit breakers
    When an engine cuts the stream of each attempt of one prompt before a token
    Then that answer ends as "retry_budget_spent" after at most 12 attempts
    And another prompt is answered
