Feature: Further paths by which a request that a node has accepted ends
  # Guards against giving up a request that may have run although no other backend
  # server could take it.
  Scenario: A lookup outlasts a second's silence of the only backend server that is ready
    Given a system on the platform
    And a backend server that drains
    When the other backend server is silent during a lookup
    Then the lookup is answered with 200

  # Guards against giving up a request after it was sent to each backend server once.
  Scenario: A lookup with more attempts than backend servers outlasts their silence
    Given a system on the platform
    And a route whose lookups have 3 attempts
    When all backend servers are silent during a lookup
    Then the lookup is answered with 200

  # Guards against giving up a request for a retry that the budget does not allow.
  Scenario: A lookup without a retry in the budget outlasts a silence
    Given a system on the platform without spare retries
    When all backend servers are silent during a lookup
    Then the lookup is answered with 200

  # Guards against giving up a request that may have run because the next backend server
  # was full for a moment.
  Scenario: A lookup whose backend server is silent outlasts another one that is full
    Given a system on the platform
    And a backend server that refuses the next request
    When the other backend server is silent during a lookup
    Then the lookup is answered with 200

  # Guards against giving up a stream for a retry that the budget does not allow.
  Scenario: A stream without events or a retry in the budget outlasts a silence
    Given a system on the platform without spare retries
    When all engines are silent for a second before a stream's first event
    Then the answer has each event once and in order

  # Guards against cancelling a request by a bound that a change of the limits raised.
  Scenario: A request ahead of a body that a raised limit allows is answered
    Given a system on the platform
    And a body limit of 1000 bytes
    When a caller sends 40000 bytes ahead after the limit was raised to 65536 bytes
    Then both requests are answered

  # Guards against cancelling a request because further ones wait behind it.
  Scenario: A request ahead of two bodies within the limit is answered
    Given a system on the platform
    When a caller sends two requests of 60000 bytes ahead
    Then all three requests are answered

  # Guards against dropping a request that was read completely before the node stops.
  Scenario: A request read behind a stream is answered while the node stops
    Given a system on the platform
    When a caller sends a lookup behind a stream and the node is stopped
    Then the lookup behind the stream is answered

  # Guards against rejecting a request by a limit that is no longer in force.
  Scenario: A connection that was opened before the header limit was raised follows it
    Given a system on the platform
    When the header limit is raised to 16384 bytes while a caller's connection is kept
    Then a header of 12000 bytes in two parts is accepted on that connection

  # Guards against closing a connection because of a field of an engine's answer.
  Scenario: An answer with a header field beyond ASCII reaches its caller
    When a server answers with a header field beyond ASCII
    Then the caller receives that field unchanged

  # Guards against failing a request because of a header field of its caller.
  Scenario: A request with a header field beyond ASCII reaches its server
    When a client sends a header field beyond ASCII
    Then the server receives that field unchanged

  # Guards against accepting any header once the limit is read for each request.
  Scenario: A header over the raised limit is rejected
    Given a system on the platform
    When the header limit is raised to 10000 bytes while a caller's connection is kept
    Then a header of 12000 bytes in two parts is rejected on that connection
