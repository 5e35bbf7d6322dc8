Feature: Stand-ins for the platform, engines and services
  Scenario: A pipeline over two engines gives the model's answer
    Given two engines with layers 0-16 and 16-32
    When request "r1" at epoch 1 asks for 12 tokens
    Then its tokens equal the model's answer
    And each layer ran exactly once for each of its positions
    And its stream ends with "length"

  Scenario: A resumed attempt goes on, and an older one is refused
    Given two engines with layers 0-16 and 16-32
    When request "r1" at epoch 1 asks for 5 tokens
    And request "r1" at epoch 2 goes on from 5 to 12 tokens
    Then its tokens equal the model's answer
    And the engines reused their KV caches
    And request "r1" at epoch 1 is refused as "old_epoch"

  Scenario: A missing, repeated or misordered layer gives another token
    When layers are left out, repeated or swapped
    Then the token differs

  Scenario: A killed stage is named on the stream
    Given two engines with layers 0-16 and 16-32
    When request "r1" at epoch 1 loses its second engine while running
    Then its stream ends with "stage_failed"

  Scenario: A stream is cut
    Given two engines with layers 0-16 and 16-32
    And the first engine has knob cut_after_tokens at 3
    When request "r1" at epoch 1 asks for 12 tokens
    Then its stream breaks off after 3 tokens

  Scenario: A frozen engine answers nothing until it goes on
    Given two engines with layers 0-16 and 16-32
    And the first engine has knob frozen at true
    Then the first engine's load report does not come
    When the first engine has knob frozen at false
    And request "r1" at epoch 1 asks for 4 tokens
    Then its tokens equal the model's answer

  Scenario: Foreign lines come with other epochs or requests
    Given two engines with layers 0-16 and 16-32
    And the first engine has knob late_tokens at 1
    And the first engine has knob cross_streams at 1
    And the first engine has knob duplicate_tokens at 1
    When request "r1" at epoch 2 asks for 6 tokens
    Then its stream has one late, one crossed and one duplicate line

  Scenario: A leaving engine takes no new request
    Given two engines with layers 0-16 and 16-32
    And the first engine has knob leaving at true
    Then request "r1" at epoch 1 is refused as "leaving"

  Scenario: An engine that checks refuses an old order
    Given two engines with layers 0-16 and 16-32
    And the first engine has knob checks_fencing at true
    When an order with fencing number 5 asks the first engine for version "2"
    Then the first engine comes to version "2"
    And an order with fencing number 4 is refused

  Scenario: The table refuses a transaction whose condition fails
    Given the platform
    When row "a" is written at version 0
    And row "a" is written at version 0
    Then the last transaction conflicts and row "a" is as first written

  Scenario: A lost answer may have taken effect
    Given the platform
    And the platform has knob lose_answers at 1
    When row "a" is written at version 0
    Then the answer is lost and row "a" exists

  Scenario: A transaction lost before its effect leaves nothing
    Given the platform
    And the platform has knob lose_before_effect at 1
    When row "a" is written at version 0
    Then the answer is lost and row "a" does not exist

  Scenario: A service refuses an attempt below its fence
    Given a service that checks fencing and answers outcomes
    When key "k1" is fenced at 5
    Then the outcome of "k1" is "absent"
    And a call with key "k1" and fencing number 4 is refused
    And a call with key "k1" and fencing number 5 runs
    And the outcome of "k1" is "run"
    And key "k1" ran once
