Feature: Answers that stop in the middle of their head
  # Guards against a success with an empty or short body, framed as whole.
  Scenario Outline: No part of a head passes for an answer when its connection is <end>
    When a server sends each part of a head and its connection is <end>
    Then each exchange has failed, at once and as a stream, on new and on kept connections

    Examples:
      | end    |
      | closed |
      | reset  |

  # Guards against a lookup, booking or stream that takes half a head for its answer.
  Scenario Outline: Requests whose servers stop in the middle of a head and are <end>
    Given a system on the platform
    When servers stop after some of a head, which is <end>, for a booking and a lookup
    Then the booking has ended with 502 and ran once, and the lookup was answered
    When engines stop after some of a head, which is <end>, for each stream
    Then each stream has each event once and in order
    When engines stop after some of a head, which is <end>, as each stream is resumed
    Then each stream has each event once and in order

    Examples:
      | end    |
      | closed |
      | reset  |

  # Guards against taking half a head of the store for an empty table or a written row.
  Scenario: The store stops in the middle of heads
    Given a system on the platform
    When the store stops after some of each head for 3 seconds
    Then each node kept its routes and servers, and has not ended
    And each node takes a change of the configuration within 2 seconds of the store's return
