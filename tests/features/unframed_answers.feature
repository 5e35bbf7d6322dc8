Feature: Answers that end with their connection
  # Guards against answers without length or chunks that are cut, lost or repeated.
  Scenario: Complete answers without a length are passed on whole
    Given a system on the platform
    And servers whose answers have neither a length nor chunks
    Then each node streams an answer with each event once and in order
    And each node passes on bookings and lookups of 100 and of 100,000 bytes whole
    And each answer is complete by its length or its chunks

  # Guards against taking an answer that was reset for a complete one.
  Scenario: Answers without a length that are reset are not complete
    Given a system on the platform
    And servers whose answers have neither a length nor chunks
    When the connections of a booking and of a lookup are reset in their answers
    Then the booking has ended with 502 and ran once
    And the lookup was answered by another server

  # Guards against ending a stream early that was reset between two events.
  Scenario Outline: A stream without a length that <fault> goes on elsewhere
    Given a system on the platform
    And servers whose answers have neither a length nor chunks
    When a stream <fault>
    Then the answer has each event once and in order
    And the stream ran more than once

    Examples:
      | fault                   |
      | is reset                |
      | ends inside an event    |

  # Guards against passing on a broken stream that may not be repeated as complete.
  Scenario Outline: A stream that may not be repeated and <fault> is left incomplete
    Given a system on the platform
    And a route whose streams may not be repeated
    And servers whose answers have neither a length nor chunks
    When a stream <fault>
    Then its answer is incomplete and it ran once

    Examples:
      | fault                   |
      | is reset                |
      | ends inside an event    |
