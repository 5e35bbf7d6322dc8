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

  # Guards against the end of an answer that follows a reset while its request is sent.
  Scenario Outline: A <form> answer that is reset while its request is sent is not complete
    When a server answers a long request early in the form <form> and resets it
    Then reading the answer fails, at once and as a stream, also when it is read again

    Examples:
      | form                  |
      | HTTP/1.0              |
      | HTTP/1.1              |
      | Connection: close     |
      | chunked               |
      | with a length         |

  # Guards against taking each early answer for an interrupted one.
  Scenario Outline: A <form> answer that is whole while its request is sent is complete
    When a server answers a long request early in the form <form> and reads on
    Then the answer is complete, at once and as a stream

    Examples:
      | form                  |
      | HTTP/1.0              |
      | HTTP/1.1              |
      | Connection: close     |
      | chunked               |
      | with a length         |

  # Guards against a success with half a body, and a stream with a fourth of its events.
  Scenario: Long requests whose early answers are reset
    Given a system on the platform
    And a configuration that takes long requests
    When each server answers its next long request early and resets it
    Then a long booking has ended with 502 and ran once
    And a long stream has each event once and in order, and ran more than once
