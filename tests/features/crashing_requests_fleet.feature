Feature: Requests that crash servers, in simulated fleets

  # Guards against nodes that each learn alone which request crashes servers.
  Scenario Outline: A request that has crashed three servers reaches no more than three others from all nodes
    Given <nodes> simulated nodes with plain servers
    When a <kind> that crashes servers comes <rate> times a second for <seconds> seconds beside sound requests
    Then later than 3 seconds after its third crash it reached no more than 3 servers
    And 6 seconds after it half of the sound requests and more are answered
    And no sound request and no part of a prompt is in quarantine

    Examples:
      | nodes | kind                     | rate | seconds |
      | 9     | lookup                   | 4    | 30      |
      | 9     | booking                  | 4    | 30      |
      | 9     | stream                   | 4    | 30      |
      | 9     | stream with prompt parts | 4    | 30      |
      | 84    | lookup                   | 8    | 30      |
      | 84    | stream with prompt parts | 8    | 30      |
      | 195   | lookup                   | 20   | 20      |
      | 700   | lookup                   | 20   | 12      |

  # Guards against a bound that each node keeps for itself, from its own start on.
  Scenario: Nodes that start again know the request that crashes servers
    Given 9 simulated nodes with plain servers
    When a lookup that crashes servers comes 4 times a second and all nodes start again one by one
    Then later than 3 seconds after its third crash it reached no more than 3 servers

  # Guards against a node that keeps what it learned without the store to itself, or
  # under digests that no other node knows.
  Scenario: A node that learned of a request without the store shares it on its return
    Given 9 simulated nodes with plain servers
    When a lookup that crashes servers comes to a node that the store refuses, and later to all
    Then later than 3 seconds after the store's return it reached no more than 3 servers

  # Guards against a popular request that is refused for ends that it did not cause.
  Scenario Outline: A popular request is not refused for long as servers end for other reasons
    Given <nodes> simulated nodes with plain servers
    When a popular lookup comes <rate> times a second and 3 servers end together 4 times
    Then it is refused by the quarantine for no longer than 6 seconds
    And it is in quarantine at no node in the end

    Examples:
      | nodes | rate |
      | 9     | 20   |
      | 84    | 40   |

  # Guards against a popular request that is blamed in place of one that crashes servers,
  # and against refusing others of its path and caller.
  Scenario: A popular request beside one that crashes servers is not refused for long
    Given 9 simulated nodes with plain servers
    When a popular lookup comes 20 times a second beside a lookup that crashes servers 4 times a second
    Then later than 3 seconds after its third crash it reached no more than 3 servers
    And the popular one is refused by the quarantine for no longer than 6 seconds
    And 6 seconds after it half of the sound requests and more are answered

  # Guards against a request that stays refused after its cause has gone.
  Scenario: A request that has become sound is released by a trial
    Given 9 simulated nodes with plain servers
    When a lookup that crashes servers becomes sound while it is in quarantine
    Then it is answered at all nodes after no more than 3 trials

  # Guards against identifying requests, or calling the store for them, as long as none is
  # suspected.
  Scenario: Requests cost nothing while no server ends
    Given 9 simulated nodes with plain servers
    When only sound requests come for 20 seconds
    Then no request was identified and no row of a suspect or a secret was written

  # Guards against rows without bound as many servers end with many requests.
  Scenario: The suspects of a node and their rows are bounded
    Given 9 simulated nodes with plain servers
    When 3000 requests break on 600 servers that end for other reasons
    Then no node knows more than 5000 suspects, and 2000 rows and 20 a node are written at most

  # Guards against bodies, paths and keys in rows, and digests that can be guessed back.
  Scenario: Rows tell nothing of the requests that they stand for
    Given 9 simulated nodes with plain servers
    When a booking that crashes servers comes and all nodes know it
    Then its row has neither its path, nor its body, nor a digest without the secret
    And the secret is not among the rows of suspects
    And it is refused at once as not run, without a time to retry

  # Guards against inviting a request again that would only meet the quarantine.
  Scenario: A request in quarantine is refused without a time to retry whatever the reason
    Given 9 simulated nodes with plain servers
    When a lookup that crashes servers is known to all nodes and they lose the store
    Then their refusals of it have no time to retry, and those of others have one

  # Guards against a request that goes on elsewhere by a move in spite of the quarantine.
  Scenario: A stream whose request is in quarantine is not moved
    Given a fleet of engines, planned and loaded
    When a stream's request is put into quarantine and one of its engines fails
    Then no order moves the stream, but one moves a sound stream

  # Guards against ends of engines that a stream has left, which are held against nothing.
  Scenario: An engine that a stream was moved from ends under its request
    Given a fleet of engines, planned and loaded
    When a stream is moved from an engine that ends
    Then the end is held against the stream's request, and one of a leaving engine is not

  # Guards against a request that is linked to no end, as its callers leave before it.
  Scenario: Callers that leave at once do not hide a request that crashes servers
    Given 9 simulated nodes with plain servers
    When a lookup that crashes servers comes 4 times a second from callers that leave after 30 ms
    Then later than 3 seconds after its third crash it reached no more than 3 servers

  # Guards against decisions that keep a node busy as suspects are many.
  Scenario: Thousands of suspects are decided on in a short time
    When 5000 requests are suspected, 500 of them for three ends and 50 parts as well
    Then a decision takes less than 0.1 seconds of processor time

  # Guards against a trial that reaches server after server, as they refuse it.
  Scenario: A trial of a request that servers refuse is not sent to others
    Given 9 simulated nodes with plain servers
    When all servers are full as a lookup that crashes servers is in quarantine
    Then later than 3 seconds after its third crash it reached no more than 3 servers
    And each trial has reached one server
