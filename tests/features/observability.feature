Feature: Metrics and logs

  Scenario: Every reason has a counter from the start
    Given new metrics
    Then every refusal, retry and drop reason is exposed at 0

  Scenario: Counts and times are exposed
    Given new metrics
    When two "no_route" refusals and 3 times between tokens of 0.02 s are counted
    Then the exposition has these samples
      | sample                                                  | value |
      | jujubepass_refusals_total{reason="no_route"}            | 2     |
      | jujubepass_refusals_total{reason="not_ready"}           | 0     |
      | jujubepass_between_tokens_seconds_bucket{le="0.015"}    | 0     |
      | jujubepass_between_tokens_seconds_bucket{le="0.02"}     | 3     |
      | jujubepass_between_tokens_seconds_bucket{le="+Inf"}     | 3     |
      | jujubepass_between_tokens_seconds_count                 | 3     |
      | jujubepass_between_tokens_seconds_sum                   | 0.06  |

  Scenario: JSON lines carry the ids and no secret
    Given logs as "json"
    When a request's lines with secrets are logged
    Then every line is JSON with request "r1" and account "shop"
    And no secret is in the lines

  Scenario: Plain lines carry the ids and no secret
    Given logs as "plain"
    When a request's lines with secrets are logged
    Then the lines name request=r1 and account=shop
    And no secret is in the lines

  Scenario: Any text logged as JSON stays JSON and hides the secrets
    Given logs as "json"
    Then any message around a secret is logged as JSON without it

  Scenario: A log that nobody reads does not block and reports dropped lines
    Given a log written to a pipe that nobody reads
    When 5000 lines are logged at once
    Then less than a second has passed and lines were dropped
    When the pipe is read and a line is logged a second later
    Then the lines read are complete, and one reports how many were dropped
