Feature: Errors of an engine that is to resume a stream

  # Guards against an error of the next engine that comes into a stream which has begun, or
  # ends it as if it were complete.
  Scenario Outline: A stream that is to be resumed by an engine which answers <form> has only its events
    Given a system on the platform
    And engines that cut a stream and answer <form> where it is to be resumed
    When a caller requests a stream that is cut
    Then the stream has its events in order and nothing else
    And it is complete or breaks off

    Examples:
      | form                          |
      | status 500                    |
      | status 404                    |
      | status 302                    |
      | status 206                    |
      | a status and no body          |
      | a body without end            |
      | bytes that are no answer      |
      | a text with status 200        |
      | nothing with status 200       |
      | an event without an id        |
      | an event after the next one   |
      | a head in its events          |
      | a head after the next event   |
      | a text in place of events     |
      | a text without an end         |
      | no further event              |
