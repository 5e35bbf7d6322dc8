Feature: Request limits that backend servers name hold for the sum of all nodes
  Scenario: Bookings of 4 node processes keep the limit of plain servers
    Given 4 node processes, whose plain servers name a limit of 3 a second
    When callers send 60 bookings a second for 9 seconds
    Then no server gets more than its limit allows
    And the servers together get at least 0.8 of their limits

  Scenario: Streams of 4 node processes keep the limit of first engines
    Given 4 node processes, whose engines name a limit of 2 a second
    When callers start 30 streams a second for 9 seconds
    Then no server gets more than its limit allows
    And the servers together get at least 0.5 of their limits

  # Guards against further attempts that do not count.
  Scenario: Lookups that are sent again keep the limit of plain servers
    Given 4 node processes, whose plain servers name a limit of 3 a second
    And these servers fail all requests
    When callers send 30 lookups a second for 9 seconds
    Then no server gets more than its limit allows
    And requests reached more than one server, or one more than once

  # Guards against resumed streams that do not count.
  Scenario: Streams that go on after a break keep the limit of first engines
    Given 4 node processes, whose engines name a limit of 2 a second
    And these servers break all streams off
    When callers start 20 streams a second for 9 seconds
    Then no server gets more than its limit allows
    And requests reached more than one server, or one more than once

  # Guards against orders that move all running streams of an engine at once.
  Scenario: Moves of running streams keep the limit of their first engine
    Given 4 node processes, whose first engine names a limit of 0.2 a second
    And a spare engine that holds layers of its failure domain's pipeline
    When a later engine is lost while it runs 16 streams
    Then orders to move them keep its limit
    And all these streams are complete

  # Guards against ignoring a limit for its form, as one with many decimals.
  Scenario Outline: A limit of "<text>" in an answer is <verdict>
    Given a server that has named a limit of 3
    When an answer names "<text>"
    Then the limit in force is <limit>
    And <count> invalid limits are counted

    Examples:
      | text   | verdict  | limit | count |
      | 5      | used     | 5     | 0     |
      | 0      | used     | 0     | 0     |
      | 0.25   | used     | 0.25  | 0     |
      | 0.125000000000000000000000000001 | used | 0.125 | 0 |
      | -1     | ignored  | 3     | 1     |
      | inf    | ignored  | 3     | 1     |
      | nan    | ignored  | 3     | 1     |
      | 1e9    | ignored  | 3     | 1     |
      | many   | ignored  | 3     | 1     |
      | 5, 5   | ignored  | 3     | 1     |
      | 5 twice | ignored | 3     | 1     |
      | ٣      | ignored  | 3     | 1     |

  Scenario: Invalid limits are logged at a bounded rate
    Given a server that has named a limit of 3
    When 1000 answers name "many" within 25 seconds
    Then at most 3 lines are logged for them

  Scenario: An answer that another server gives tells nothing of a limit
    Given a server that has named a limit of 3
    When an answer of status 421 names no limit
    Then the limit in force is 3
    When an answer names no limit
    Then there is no limit in force

  Scenario Outline: A request of priority <priority> with <left> s left waits up to <wait> s
    Given a route with a latency goal of 0.5 seconds
    Then a request of priority <priority> with <left> seconds left waits up to <wait>

    Examples:
      | priority | left | wait |
      | 0        | 20   | 0.4  |
      | 1        | 20   | 0.2  |
      | 3        | 20   | 0.05 |
      | 0        | 1    | 0.1  |
      | 0        | 0    | 0    |

  Scenario: The request that may wait longest gets the first permit
    Given a home of a server with a limit of 10
    When a node asks for requests that may wait 0.25, 0.15 and 0.05 seconds
    Then they get a permit now, one after 0.1 seconds, and none

  Scenario: Refused callers are told to return at the limit's rate
    Given a node that refuses 20 callers of a server with a limit of 4
    Then they are told to return 0.25 seconds apart, 10 seconds at most

  Scenario: Another server takes what one with a limit does not
    Given 2 node processes, whose plain servers name no limit but the first, which names 1
    When callers send 30 bookings a second for 4 seconds
    Then none of them is refused while the node knows the configuration

  Scenario: Callers of limited servers are refused at once and served when they return
    Given 2 node processes, whose plain servers name a limit of 0.5 a second
    When callers send 10 bookings a second for 5 seconds
    Then some are refused within 0.3 seconds, with Retry-After of 0.25 to 10 seconds

  Scenario Outline: A query for permits that is <kind> is rejected
    Given a query for permits under a token
    When its bytes are <kind>
    Then it is rejected as malformed

    Examples:
      | kind                    |
      | sealed by another token |
      | cut short               |
      | empty                   |
      | of another form         |
      | with a negative wait    |
      | with 2000 waits         |

  Scenario: A reply to another query for permits is rejected
    Given a query for permits under a token
    When a reply to another query arrives
    Then the reply is rejected as malformed

  Scenario Outline: A request for a vote that is <kind> is rejected
    Given a request for a vote under a token
    When the request's bytes are <kind>
    Then the request is rejected as malformed

    Examples:
      | kind                    |
      | sealed by another token |
      | cut short               |
      | of another form         |

  # Guards against two homes of a server that give out its whole limit.
  Scenario: A vote is lent to one home at a time, for longer than a lease lasts
    Given three homes of a server
    When the first one asks the third one for its vote
    Then the second one gets no vote of it within 2.4 seconds
    And the second one gets its vote after 2.6 seconds

  # Guards against a second vote of a process that does not know of the first one.
  Scenario: A home that has started again lends no vote at first
    Given three homes of a server
    When the third one has started again
    Then nobody gets its vote within 2.4 seconds
    And the second one gets its vote after 2.6 seconds

  # Guards against a second vote for a server after a pause of the process.
  Scenario: A home that stood still while it asked for votes keeps to the one it lent
    Given three homes of a server
    When the third one asks for votes, is still for 3 seconds and lends its own
    Then it holds no lease, and its vote is lent

  # Guards against nodes that take others for idle once a server's limit has ended.
  Scenario: A home of a server without a limit tells nothing of other nodes' requests
    Given a home of a server with a limit of inf
    When a node asks for requests that may wait 0.2, 0.1 and 0.0 seconds
    Then the reply tells no mean of requests

  Scenario Outline: A node <which> lends no vote
    Given three homes of a server
    When the third one is a node <which>
    Then nobody gets its vote within 2.4 seconds

    Examples:
      | which                        |
      | that others may have dropped |
      | that joined 25 seconds ago   |

  Scenario Outline: A node that starts <when> counts as known <since>
    Given a store with rows of nodes
    When a node starts <when>
    Then its row says that it is known <since>

    Examples:
      | when                       | since            |
      | with all others            | from the start   |
      | later                      | since then       |
      | again after 5 seconds      | as before        |
      | again after 100 seconds    | since then       |
      | and its write's answer is lost | since its first write |

  Scenario: Pipelines begin elsewhere while the first engines here have no permits
    Given a planned fleet of 9 nodes that are busy
    When the first engines of a failure domain have no permits
    Then a pipeline begins elsewhere and goes on in that failure domain
    And without load the whole pipeline is elsewhere

  # Guards against pauses of streams that cross a link between failure domains though
  # only this node, not the others, is busy.
  Scenario: A busy node's pipelines are elsewhere as a whole while other nodes have room
    Given a planned fleet of 9 nodes that are busy
    When the first engines of a failure domain have no permits
    And their home tells that other nodes have few requests
    Then the busy node's pipeline is elsewhere as a whole
