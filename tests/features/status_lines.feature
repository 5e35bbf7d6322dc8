Feature: Status lines that HTTP does not define
  # Guards against taking an answer with an undefined status or version for an answer.
  Scenario: No undefined status line passes for an answer
    When a server answers with each undefined status line in each framing
    Then each exchange has failed, on new and on kept connections, and none is kept

  # Guards against refusing what HTTP defines.
  Scenario: Each status that HTTP defines is an answer
    When a server answers with each defined status from 200 to 599 in HTTP/1.0 and 1.1
    Then each exchange has its status

  # Guards against passing on an undefined status, or one of another version's, to callers.
  Scenario Outline: Requests whose servers answer "<line>"
    Given a system on the platform
    When servers answer a booking and a lookup with "<line>"
    Then the booking with that status line has ended with 502 and ran once
    And the lookup with that status line was answered by another server
    When engines answer each next stream with "<line>"
    Then each stream with that status line is whole and ran more than once

    Examples:
      | line                |
      | HTTP/1.1 000 Failed |
      | HTTP/1.1 600 Failed |
      | HTTP/1.1 999 Failed |
      | HTTP/2.0 200 OK     |
