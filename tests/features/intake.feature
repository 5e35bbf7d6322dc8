Feature: Accounting of what clients make a process hold
  # Guards against sums that drift, after which nothing or everything would be shed.
  Scenario: What connections hold is summed up and returns to zero
    Given a ledger with a bound of 10 MB
    When connections come, hold bytes and go in any order
    Then the ledger's sums equal those of the open connections after each step
    And the sums are zero once all have gone

  # Guards against shedding clients that keep to the limits.
  # Shedding ends below 8 MB, so that it is not due again at once.
  Scenario Outline: A crowd of stalled bodies is shed and a client that goes on is not
    Given a ledger with a bound of 10 MB
    When <stalled> bodies of 1 MB stall for 1 second while one of 4 MB goes on
    And connections are shed
    Then <shed> of the stalled bodies are shed, and not the other one

    Examples:
      | stalled | shed |
      | 4       | 0    |
      | 9       | 6    |
      | 90      | 87   |

  # Guards against clients that hold memory with a byte now and then.
  Scenario: Single bytes are no progress
    Given a ledger with a bound of 10 MB
    When 9 bodies of 1 MB receive single bytes while one of 4 MB goes on
    And connections are shed
    Then 6 of the stalled bodies are shed, and not the other one

  # Guards against shedding clients that the process itself keeps waiting.
  Scenario: A connection that waits for memory is not shed
    Given a ledger with a bound of 10 MB
    When 12 bodies of 1 MB wait for memory for 2 seconds
    And connections are shed
    Then 0 of the stalled bodies are shed, and not the other one

  # Guards against connections that all wait for each other's memory.
  Scenario: Connections that wait for memory are shed if none of them has room
    Given a ledger with a bound of 10 MB
    When 12 bodies of 1 MB wait for memory for 2 seconds
    And connections are shed, also waiting ones
    Then 5 of the stalled bodies are shed, and not the other one

  # Guards against a bound that depends on an address which a balancer stands for.
  Scenario: The address that holds most is shed first
    Given a ledger with a bound of 10 MB
    When 3 bodies of 1 MB from one address and 9 from another stall for 1 second
    And connections are shed
    Then 5 connections are shed, all of the address that holds most

  Scenario: Bounds follow from the memory and the descriptors of a VM
    Then these bounds are derived
      | megabytes | descriptors | held | callers | relay | monitor |
      | 200       | 4100        | 24   | 1950    | 243   | 121     |
      | 300       | 4100        | 74   | 1950    | 243   | 121     |
      | 552       | 4100        | 200  | 1950    | 243   | 121     |
      | 200       | 400         | 24   | 100     | 12    | 8       |
      | 64        | 100         | 16   | 25      | 8     | 8       |

  # Guards against a decoder that differs from the HTTP library's.
  Scenario: Chunked bodies are decoded as the HTTP library decodes them
    Then any chunked body in any parts, whole or damaged, is read as by the HTTP library

  # Guards against many small chunks that keep a process from other tasks.
  Scenario: One-byte chunks are decoded in small parts and joined
    When 100000 chunks of one byte are decoded
    Then each part took at most 512 of them, and the body is one object of 100000 bytes

  # Guards against requests that go on for clients that have gone.
  Scenario Outline: A client that closes while its request runs is noticed
    Given a listener whose handler waits
    When a client sends a request, then <more> more bytes, and <closes>
    Then its request is cancelled within 0.5 seconds

    Examples:
      | more    | closes |
      | 0       | closes |
      | 100     | closes |
      | 50000   | closes |
      | 50000   | resets |

  # Guards against reading all that a client pipelines.
  Scenario: Pipelined requests wait in the socket and are all answered in order
    Given a listener whose handler waits
    When a client pipelines 300 requests with bodies
    Then the listener has read at most 70000 bytes of them while the first one runs
    And all of them are answered in order once the handler goes on

  # Guards against a refusal of a request that has run, and one without a time.
  Scenario: A body that stalls under shortage is refused before it runs
    Given a listener with a bound of 1 MB
    When a client stalls after 900000 bytes and another one sends 900000 bytes
    Then the first one gets 503 with Retry-After, and the other one 200
    And only the second request has run, and the ledger is empty

  Scenario: The limits of a VM are settings
    Then docs/forwarding-settings.md names each setting of the section limits
