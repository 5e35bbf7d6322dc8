Feature: Stand-ins for the platform, engines and services
  Scenario: A pipeline over two engines returns the model's answer
    Given two engines with layers 0-16 and 16-32
    When request "r1" at epoch 1 requests 12 tokens
    Then its tokens equal the model's answer
    And each layer ran exactly once for each position
    And its stream ends with "length"

  Scenario: A resumed attempt continues the answer, and an older one is refused
    Given two engines with layers 0-16 and 16-32
    When request "r1" at epoch 1 requests 5 tokens
    And request "r1" at epoch 2 resumes after 5 of 12 tokens
    Then its tokens equal the model's answer
    And the engines reused their KV caches
    And request "r1" at epoch 1 is refused as "old_epoch"

  Scenario: A missing, repeated or misordered layer changes the token
    When layers are left out, repeated or swapped
    Then the token differs

  Scenario: The stream reports the engine of a killed stage
    Given two engines with layers 0-16 and 16-32
    When request "r1" at epoch 1 loses its second engine while it runs
    Then its stream ends with "stage_failed"

  Scenario: A stream is cut short
    Given two engines with layers 0-16 and 16-32
    And the first engine has knob cut_after_tokens at 3
    When request "r1" at epoch 1 requests 12 tokens
    Then its stream is interrupted after 3 tokens

  Scenario: A frozen engine does not respond until it is unfrozen
    Given two engines with layers 0-16 and 16-32
    And the first engine has knob frozen at true
    Then a request for the first engine's load report times out
    When the first engine has knob frozen at false
    And request "r1" at epoch 1 requests 4 tokens
    Then its tokens equal the model's answer

  Scenario: Injected lines carry another epoch or request
    Given two engines with layers 0-16 and 16-32
    And the first engine has knob late_tokens at 1
    And the first engine has knob cross_streams at 1
    And the first engine has knob duplicate_tokens at 1
    When request "r1" at epoch 2 requests 6 tokens
    Then its stream has one late, one crossed and one duplicate line

  Scenario: A leaving engine refuses new requests
    Given two engines with layers 0-16 and 16-32
    And the first engine has knob leaving at true
    Then request "r1" at epoch 1 is refused as "leaving"

  Scenario: An engine that checks fencing numbers refuses an old order
    Given two engines with layers 0-16 and 16-32
    And the first engine has knob checks_fencing at true
    When an order with fencing number 5 requests version "2" of the first engine
    Then the first engine loads version "2"
    And an order with fencing number 4 is refused

  Scenario: The table refuses a transaction whose condition fails
    Given the platform
    When row "a" is written at version 0
    And row "a" is written at version 0
    Then the last transaction conflicts and row "a" has its first value

  Scenario: A transaction may have taken effect although its response is lost
    Given the platform
    And the platform has knob lose_answers at 1
    When row "a" is written at version 0
    Then the response is lost and row "a" exists

  Scenario: A transaction lost before it takes effect writes nothing
    Given the platform
    And the platform has knob lose_before_effect at 1
    When row "a" is written at version 0
    Then the response is lost and row "a" does not exist

  Scenario: A service refuses an attempt below the fencing number
    Given a service that checks fencing and answers outcomes
    When key "k1" is fenced at 5
    Then the outcome of "k1" is "absent"
    And a call with key "k1" and fencing number 4 is refused
    And a call with key "k1" and fencing number 5 runs
    And the outcome of "k1" is "run"
    And key "k1" ran once

  # Guards against engines that break a stream off because they were suspended themselves.
  Scenario: An engine that is suspended while it checks a stage does not stall
    When an engine of a pipeline is suspended for 1.2 seconds inside a check of its stages
    Then it goes on with the stream
    When a stage of the pipeline is missing
    Then it breaks the stream off within 2 seconds
