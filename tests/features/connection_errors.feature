Feature: Errors of one connection
  # Guards against a reset before the accept that ends the node with all its requests.
  Scenario Outline: A node outlives connections that are reset <moment>
    Given a system on the platform
    When connections to each listener are reset <moment>
    Then the node has not been started again, and each listener answers

    Examples:
      | moment                       |
      | at once                      |
      | while the node is suspended  |

  # Guards against a rejection that does not fit the request's method and ends the node.
  Scenario: A node outlives invalid requests
    Given a system on the platform
    When invalid requests in each form arrive at each listener
    Then the node has not been started again, and each listener answers
    And each invalid request that was sent whole got its rejection

  # Guards against an unexpected error in the handling of a connection.
  Scenario: A listener outlives a connection whose handling fails
    When a handler's failure is reported on a connection that breaks meanwhile
    Then the listener serves the next connection

  # Guards against a peer's handshake that ends the node.
  Scenario: A listener for other nodes outlives handshakes that are reset or malformed
    When other nodes reset or garble their handshakes
    Then the listener takes messages of a node that holds the key

  # Guards against an aborted answer that looks complete without chunks or a length.
  Scenario Outline: A caller that speaks <version> learns that its answer is <state>
    When a listener's answer to a caller that speaks <version> is <state>
    Then the caller finds that it is <state>

    Examples:
      | version  | state      |
      | HTTP/1.0 | aborted    |
      | HTTP/1.0 | failed     |
      | HTTP/1.0 | complete   |
      | HTTP/1.1 | aborted    |
      | HTTP/1.1 | complete   |
