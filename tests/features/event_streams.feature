Feature: Streams of plain services
  Background:
    Given a system on the platform
    And routes to streams of the plain service

  # Guards against a stream of a plain server that breaks off and looks complete.
  Scenario Outline: A stream of a plain server that may not be resumed and <fault> is left incomplete
    Given servers whose answers have neither a length nor chunks
    When a <route> stream <fault> at its plain server
    Then the plain stream is incomplete, and it ran once

    Examples:
      | route   | fault              |
      | single  | is reset           |
      | single  | ends inside an event |

  # Guards against losing the rest of a stream that another plain server can resume.
  Scenario Outline: A <route> answer of events that <fault> is completed by another plain server
    Given servers whose answers have neither a length nor chunks
    When a <route> stream <fault> at its plain server
    Then the plain stream has each event once and in order, and it ran twice

    Examples:
      | route     | fault                |
      | resumable | is reset             |
      | resumable | ends inside an event |
      | resumable | falls silent         |
      | lookup    | ends inside an event |

  # Guards against collecting a stream of a plain server before it is forwarded.
  Scenario Outline: Events of a <route> plain stream are forwarded as they arrive
    When a <route> stream of 3 seconds is requested
    Then its first event arrives within 0.5 seconds and it runs once to its end

    Examples:
      | route     |
      | single    |
      | resumable |
