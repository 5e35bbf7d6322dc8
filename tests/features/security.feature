Feature: Security of the listeners
  Scenario: Any bytes to the HTTP listener leave it serving
    Then any bytes get an HTTP answer or a close, and a good request after them is served

  Scenario: A caller that keeps sending during its request does not fill the memory
    Given an HTTP listener whose handler waits
    When a caller sends 64 MB while it waits
    Then the listener has buffered no more than its limits and still serves

  Scenario: Any peer message is read or refused
    Then any bytes, and any damage to a valid message, are an event or a codec error

  Scenario: Peers without the key are cut off and hold no connections
    Given a peer listener
    When peers send garbage, a wrong key, a large frame, a replayed proof and nothing
    Then each of them is cut off and no message was received
    And the message of a peer with the key is received

  Scenario: A message whose handling fails ends neither the node nor the connection
    Given a peer listener whose handler fails at the message "bad"
    When a peer with the key sends "bad", garbage and then "good"
    Then "good" is received over the same connection and 2 messages were rejected

  Scenario: Any settings and declarations are read or refused with problems
    Then any text and any damage to valid settings is read or refused with problems
    And any text as declarations is read or refused with problems

  Scenario: Operators without the key can read and change nothing
    Given a system whose nodes log everything
    Then operators without the key, with a wrong one or with its hash get 401

  Scenario: No secret is in logs, status, metrics or answers
    Given a system whose nodes log everything
    When callers, operators and peers come with right and wrong keys
    Then no key and no key's hash is in any log, status, metric or answer
