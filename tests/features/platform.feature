Feature: Nodes on the users' platform
  Scenario: Streams, bookings and lookups are served at each node
    Given a system on the platform
    Then each node streams an answer with each event once and in order
    And each node runs a booking once and answers a lookup, for the key's account
    And no engine received a pipeline that omits or repeats a layer
    And no engine was ordered to load more layers than fit in its memory

  Scenario: Invalid requests are refused with a reason
    Given a system on the platform
    Then an unknown host, path and key are refused with 404, 404 and 401
    And a body over the limit is refused with 413
    And a request with two lengths is refused with 400
    And each refusal has the request's id

  Scenario: A change of the configuration is in force within two seconds
    Given a system on the platform
    When the operator adds a route and removes a key
    Then each node serves the route and refuses the key within 2 seconds
    When the operator writes an older version and one that cannot be decoded
    Then each node keeps the newest version in force

  Scenario: A stream continues after an engine of its pipeline is killed
    Given a system on the platform
    When an engine of the pipeline is killed during a stream
    Then the answer has each event once and in order
    And streams are served in each failure domain within 10 seconds

  Scenario: A stream continues in the same run on an engine with the same layers
    Given a system on the platform
    And a spare engine that holds layers of its failure domain's pipeline
    When the engine that has a spare is killed during a stream
    Then the answer has each event once and in order
    And the request ran once and was moved by one order

  Scenario: A stream leaves an engine that is about to stop
    Given a system on the platform
    And a spare engine that holds layers of its failure domain's pipeline
    When the engine that has a spare reports draining during a stream and stops
    Then the answer has each event once and in order
    And the request ran once and was moved by one order

  Scenario: A stream whose move is refused goes on in another run
    Given a system on the platform
    And a spare engine that holds layers of its failure domain's pipeline
    And engines that refuse to move requests
    When the engine that has a spare is killed during a stream
    Then the answer has each event once and in order

  Scenario: A truncated event is never forwarded
    Given a system on the platform
    When the first engine closes the connection inside an event
    Then the answer has each event once and in order

  Scenario: An engine restarted under the same name loads its layers again
    Given a system on the platform
    When an engine is killed and started again
    Then streams begin in its failure domain again

  Scenario: A booking whose answer was lost is neither repeated nor reported as not run
    Given a system on the platform
    When a booking's answer is lost
    Then the answer has status 502 and the booking ran once
    When a booking is refused by one backend server
    Then the booking ran at most once, and not at all if it was refused
    When a backend server's address belongs to another one
    Then a booking is served by the other backend server or refused as not run

  Scenario: Bookings leave no idle connections at a service
    Given a system on the platform
    When 30 bookings are made
    Then the service has fewer than 5 connections

  Scenario: A failed lookup is sent to another backend server
    Given a system on the platform
    When a lookup's answer is lost, fails or is unverified
    Then each lookup was answered with 200

  Scenario Outline: The store fails with <fault> and comes back
    Given a system on the platform
    When the store fails with "<fault>" for 4 seconds
    Then each node refuses keys within 3.5 seconds of its last confirmation and is not ready
    And when the store is back, each node serves again within 2.5 seconds
    And an engine killed afterwards is replaced by a new plan

    Examples:
      | fault        |
      | 503          |
      | 429          |
      | no answer    |
      | reset        |

  Scenario: The store loses its history of changes
    Given a system on the platform
    When the store loses its history of changes
    And the operator adds a route and removes a key
    Then each node serves the route and refuses the key within 2 seconds

  Scenario: Entries that cannot be decoded are ignored
    Given a system on the platform
    When other writers list backend servers that cannot be decoded
    Then each node streams an answer with each event once and in order

  Scenario: A stopping node completes the requests it has accepted
    Given a system on the platform
    When a node receives SIGTERM during a stream of one second
    Then the answer has each event once and in order
    And the node exits with 0 within its shutdown time
    When a node receives SIGTERM and then a stream longer than its shutdown time
    Then the stream is refused as not run, with a retry time below one second

  Scenario: A restarted node serves again
    Given a system on the platform
    When a node is killed and started again
    Then the node is ready again and serves within 3 seconds

  Scenario: The log gives the cause of a refusal by the request's id
    Given a system on the platform
    When a booking's answer is lost
    Then the node's log has the request, the backend server and the cause of the outcome
    And the node's metrics count the refusal

  Scenario: All errors in the settings are reported
    Then settings of a forwarding node with three errors report each of them
    And the settings made from the platform's template are accepted

  Scenario Outline: Changed settings are in force <how>
    Given a system on the platform
    When a node's settings change <how>, while it streams an answer
    Then the answer has each event once and in order
    And within 2 seconds the node logs the changed settings and those that need a restart
    And 1.2 seconds after the store is lost the node refuses requests with keys
    And 4 seconds after the loss a node with a larger bound still accepts them

    Examples:
      | how              |
      | with SIGHUP      |
      | without a signal |

  Scenario: Changed settings with errors are not installed
    Given a system on the platform
    When a node's settings get three errors
    Then the node's log has each error once
    And each node streams an answer with each event once and in order
