Feature: Requests at a node that stops
  # Guards against passing on what the stop will cut: the outcome of a booking is unknown
  # then, and it may not be repeated.
  Scenario Outline: Bookings at a node that stops are answered, or refused without a run
    Given a system on the platform
    And bookings that take <seconds> seconds, of which <known> has been seen
    When bookings arrive at a stopping node until it takes no more
    Then each of them is answered whole, and each that is refused has not run
    And each that arrived later than 3 seconds after the signal was answered or refused

    Examples:
      | seconds | known |
      | 4       | none  |
      | 5       | one   |
      | 7       | none  |
      | 0.05    | one   |

  # Guards against requests that wait behind others on a connection as a node stops.
  Scenario: Bookings that wait on one connection of a node that stops
    Given a system on the platform
    And bookings that take 2.5 seconds, of which one has been seen
    When 5 bookings are sent on one connection to a stopping node
    Then each of them is answered whole, and each that is refused has not run
    And the first one was served and the last one refused

  # Guards against requests that are passed on late, as they waited for a permit.
  Scenario: Bookings that wait for permits at a node that stops
    Given a system on the platform
    And bookings that take 4 seconds, of which one has been seen
    And servers that take 2 requests a second
    When bookings arrive at a stopping node until it takes no more
    Then each of them is answered whole, and each that is refused has not run
    And each that arrived later than 3 seconds after the signal was answered or refused

  # Guards against streams that begin, or go on, at a node without the time to end them.
  Scenario: Streams at a node that stops
    Given a system on the platform
    When streams arrive at a stopping node until it takes no more
    Then each stream that arrived later than 3 seconds after the signal was answered whole or has not run
    And a stream that is resumed there and cannot end has not run
