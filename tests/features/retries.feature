Feature: Retry budgets and circuit breakers
  Scenario: Retries stay a fraction of first attempts when everything fails
    When every attempt fails and each failure requests a retry
    Then retries stay within the budget of each prefix of the run

  Scenario: A spent budget allows single retries after an idle period
    Given a retry budget that is spent
    Then the next retry is allowed when its predicted wait is over and not before

  Scenario: A circuit opens, probes once and closes
    Given a circuit that opens after 3 failures
    When 3 attempts fail
    Then no attempt is allowed until the open time is over
    And exactly one probe is allowed then
    When the probe succeeds
    Then attempts are allowed again

  Scenario: A circuit opens for longer when its probes fail, up to a bound
    Given a circuit that opens after 3 failures
    When 3 attempts fail
    And 12 probes fail one after another
    Then each open time is at least as long as the one before, less the jitter
    And no open time exceeds the bound

  Scenario: Late successes do not close an open circuit
    Given a circuit that opens after 3 failures
    When 3 attempts fail
    And an attempt from before the opening succeeds
    Then no attempt is allowed until the open time is over

  Scenario: A probe without an outcome does not block the circuit permanently
    Given a circuit that opens after 3 failures
    When 3 attempts fail
    And a probe is sent and its outcome is never reported
    Then another probe is allowed after the probe time-out
