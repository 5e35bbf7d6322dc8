Feature: Requests that a node has accepted
  # Guards against cutting off a stream that has begun when a change of the
  # configuration takes away its key or route.
  Scenario Outline: A stream that has begun continues on another pipeline after <change>
    Given a system on the platform
    When <change> during a stream and its first engine is killed
    Then the answer has each event once and in order

    Examples:
      | change                              |
      | the operator removes its key        |
      | the operator removes its route      |
      | the operator removes its service    |
      | the store becomes unavailable       |

  # Guards against giving up a lookup that may have run when a change of the
  # configuration takes away its key or route.
  Scenario Outline: A lookup without an answer is sent again after <change>
    Given a system on the platform
    When <change> while a lookup waits for a silent backend server
    Then the lookup is answered with 200

    Examples:
      | change                              |
      | the operator removes its key        |
      | the operator removes its route      |

  # Guards against running requests that a newer configuration does not allow.
  Scenario: A request that has not run yet is refused once its key is removed
    Given a system on the platform
    When the operator removes its key while a stream waits for a pipeline
    Then the stream is refused with 401 and did not run

  # Guards against cutting off a stream because its engine is silent for a second.
  Scenario Outline: A stream <kind> outlasts an engine that is silent for a second
    Given a system on the platform
    And a route whose streams <rule>
    When the first engine of a stream is silent for a second
    Then the answer has each event once and in order

    Examples:
      | kind                     | rule               |
      | that may be repeated     | may be repeated    |
      | that may not be repeated | may not be repeated |

  # Guards against cutting off a stream whose attempts are used up by a short silence.
  Scenario: A stream outlasts engines that are all silent for a second
    Given a system on the platform
    When all engines are silent for a second during a stream
    Then the answer has each event once and in order

  # Guards against cutting off a stream after a number of interrupted attempts,
  # although each of them continued the answer.
  Scenario: A stream outlasts engines that are silent in turn for a second each
    Given a system on the platform
    When the engine that runs a stream is silent for a second, 5 times
    Then the answer has each event once and in order

  # Guards against closing connections by an idle limit that is no longer in force.
  Scenario: A connection that was idle before its limit was raised is used again
    Given a system on the platform
    And an idle limit of 1 second
    When a caller's connection is idle for 2 seconds and the limit becomes 10 s
    Then a request on that connection is answered with 200

  # Guards against closing connections that callers keep by the limit they know.
  Scenario: A connection that was idle before its limit was lowered is used again
    Given a system on the platform
    When a caller's connection is idle for 2 seconds and the limit becomes 1 s
    Then a request on that connection is answered with 200
