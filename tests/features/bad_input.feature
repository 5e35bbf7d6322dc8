Feature: Bad input to a real node
  Scenario: Every kind of bad request gets its problem, and good ones are answered
    Given a node limited to 20 connections, 4096 bytes and half a second per request
    When a booking with the key "visit-1" has been answered
    Then each of these gets its problem, and a good request after it is answered
      | request                                | status | code                    |
      | a prompt without an account key        | 401    | unknown_account         |
      | a prompt with an unknown account key   | 401    | unknown_account         |
      | a prompt that is not JSON              | 400    | malformed_request       |
      | a prompt nested 100000 deep            | 400    | malformed_request       |
      | a prompt with half a surrogate pair    | 400    | malformed_request       |
      | a prompt for -1 tokens                 | 400    | malformed_request       |
      | a prompt of 5000 bytes                 | 413    | body_too_large          |
      | a prompt to an unknown model           | 404    | unknown_model           |
      | a prompt that must answer in "soon"    | 400    | malformed_request       |
      | a prompt that must answer in "nan"     | 400    | malformed_request       |
      | a prompt to an unknown path            | 404    | unknown_path            |
      | a prompt in an unknown method          | 404    | unknown_path            |
      | a tunnel                               | 405    | method_not_allowed      |
      | bytes that are not HTTP                | 400    | malformed_http          |
      | a prompt whose chunk is 2^63 bytes     | 413    | body_too_large          |
      | a prompt whose later chunk is too long | 413    | body_too_large          |
      | a booking without an idempotency key   | 400    | missing_idempotency_key |
      | a booking whose key is 10000 long      | 400    | invalid_idempotency_key |
      | a booking whose key has a tab          | 400    | invalid_idempotency_key |
      | another booking with the key "visit-1" | 422    | idempotency_key_reused  |
      | a booking at an unknown service        | 404    | unknown_service         |
      | a lookup of "outcomes/visit-1"         | 400    | malformed_request       |
      | a lookup of "%6futcomes/visit-1"       | 400    | malformed_request       |
      | a lookup of "a/../outcomes/visit-1"    | 400    | malformed_request       |
      | a lookup of "a//b"                     | 400    | malformed_request       |
      | a prompt that stops half-way           | 408    | slow_sender             |
      | headers that stop half-way             | 408    | slow_sender             |
      | one connection too many                | 503    | too_many_connections    |
    And only a refusal for too many connections has a Retry-After header
    And refusals for bad input were counted by reason
    And the service ran 1 booking for each good one
