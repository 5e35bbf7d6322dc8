Feature: Parts of prompts that crash engines

  # Guards against blaming the last part, which no other request holds.
  Scenario: The parts of a prompt but the last are read from its header field
    Then these header fields give these parts
      | field             | parts |
      | a:800,b:410,c:250 | a b   |
      | a:800, b:410 ,c:2 | a b   |
      | a:800             |       |
      | a:800,b           | a     |
      | a:800,:3,c:2      | a     |
      | a:x,b:3           | a     |
    And a request without the field has no parts
    And all 900 parts but the last of a longer prompt are read

  # Guards against log lines that do not tell a bad part from repeats of one request.
  Scenario: The log of a broken attempt names the parts and the events of that run
    Given a stream whose engine ends after 1 event in each of 5 runs
    When its request is served
    Then each broken attempt is logged with its parts and 1 event

  # Guards against cutting off a stream that has run well for a part of its prompt that
  # other nodes suspect meanwhile.
  Scenario: A stream that has run well goes on although its part is in quarantine
    Given a fleet of engines, planned and loaded
    When a part of a stream that has run well is put into quarantine and the run breaks
    Then the answer is completed by a second run

  # Guards against nodes that each learn alone which parts crash engines.
  Scenario Outline: A part that has ended five engines reaches no further ones from any node
    Given <nodes> simulated nodes
    When sound requests and 5 a second with a bad part come at any of them for <seconds> seconds
    Then 3 seconds after the fifth end no more than 3 requests with the bad part reach engines
    And 6 seconds after it sound requests begin as elsewhere
    And no sound part is in quarantine
    And the store was called no more often than 20 times a second

    Examples:
      | nodes | seconds |
      | 9     | 30      |
      | 84    | 30      |
      | 700   | 12      |

  # Guards against refusing sound parts for ends that they did not cause.
  Scenario: Ends of engines under sound parts put none in quarantine for long
    Given 9 simulated nodes
    When sound requests come and 4 engines end together 3 times
    Then no sound part is in quarantine
    And sound requests begin as elsewhere

  # Guards against holding broken connections against prompts.
  Scenario: Reset connections blame no part
    Given 9 simulated nodes
    When sound requests come and all connections are reset 5 times
    Then no part is suspected

  # Guards against taking a node's lost links for ends of engines.
  Scenario: Nodes whose engines do not answer blame no part
    Given 9 simulated nodes
    When sound requests come to a node that is cut off for 10 seconds
    Then no part is suspected

  # Guards against a node that forgets what it learned without the store, or keeps only that.
  Scenario: A node without the store learns from its own requests, and then from the others
    Given 9 simulated nodes
    When a bad part comes while the store refuses one of them
    Then the others keep the bound
    And soon after the store's return that node knows the part too

  # Guards against ends that are reported once only, to a store that is away.
  Scenario: Nodes that learned of a part while the store was away agree on its return
    Given 9 simulated nodes
    When a bad part comes while the store is away
    Then soon after the store's return no node sends the part to engines

  # Guards against writes that replace the ends that other nodes have written.
  Scenario: Nodes that write the same row at once agree
    Given 84 simulated nodes
    When 30 requests a second with a bad part come for 4 seconds
    Then some writes met others
    And each node knows the ends in the row of the part, and no others

  # Guards against knowledge that ends with the processes.
  Scenario: A part stays in quarantine when all nodes start again
    Given 9 simulated nodes
    When a bad part comes and all nodes start again after 10 seconds
    Then 3 seconds after the fifth end no more than 3 requests with the bad part reach engines
    And no sound part is in quarantine

  # Guards against a proof of soundness that holds forever.
  Scenario: A part that was sound turns bad
    Given 9 simulated nodes
    When a part that was sound turns bad after 61 seconds without a request
    Then 3 seconds after the fifth end no more than 3 requests with the bad part reach engines
    And no sound part is in quarantine

  # Guards against sound requests that are refused without end.
  Scenario: A part that has become sound is released by a trial
    Given 9 simulated nodes
    When a bad part becomes sound while it is in quarantine
    Then it is released at all nodes by the next trial

  # Guards against a trial of a sound part that goes to a prompt with a bad one, as the
  # other parts of sound prompts are suspected too at a cold start.
  Scenario: A trial goes to the prompts whose other parts are suspected least
    Given a part that all prompts share, in quarantine for ends under two bad parts
    Then a trial is due for sound prompts before it is due for those with bad parts

  # Guards against a trial that is spent, though engines refused to run its request.
  Scenario: A trial whose request has not run is used for another one
    Given 9 simulated nodes
    When a part in quarantine becomes sound and all engines end as its trial is due
    Then it is released at all nodes by the next trial
  # Guards against a sound part that is in the prompts of two bad ones, taken for them.
  Scenario: Two parts that explain all ends are blamed before one that explains most
    Given 8 ends under each of two parts, and 9 of them under a third one
    Then the first two are in quarantine

  # Guards against two sound parts that are blamed together for ends under a bad part and
  # for others.
  Scenario: A part is blamed before two that explain a few more ends together
    Given 10 ends under a part, and half of them under each of two that have 2 other ends
    Then only the first part is in quarantine

  # Guards against a bad part that counts as little as a sound one that shares many ends.
  Scenario Outline: A part under which more engines ended than under another one is blamed
    When <ends> engines end under a bad part, <shared> of them with a sound one
    Then only the bad part is in quarantine

    Examples:
      | ends | shared |
      | 5    | 4      |
      | 18   | 16     |
      | 40   | 38     |

  # Guards against trials that end engines without end.
  Scenario: A part that stays bad is tried no more than three times
    Given 9 simulated nodes
    When a bad part comes once a second for 1500 seconds
    Then it was tried 3 times, each later than the one before

  # Guards against one request that is repeated on engine after engine.
  Scenario: One request ends no more than two engines
    Given 9 simulated nodes
    When a single request with a bad part comes
    Then it has ended no more than 2 engines

  # Guards against callers that repeat a refused request at once, or never.
  Scenario: A refusal for a part says that the request has not run and when to retry
    Given 9 simulated nodes
    When a bad part comes and all nodes know it
    Then a request with it is refused at once with 503 and a retry time

  # Guards against ends of engines that are never held against parts, as the refused
  # connection is not recognized.
  Scenario: A connection to an address without a listener is reported as refused
    When a client connects to a port without a listener
    Then the error says that nothing listens there

  # Guards against ends of engines that are never held against parts, as the engine
  # comes back under another name.
  Scenario: Another engine at an address confirms the end of the one before
    Given an engine on which a request broke
    When an engine of another name is listed at its address
    Then the end of the first one is confirmed

  # Guards against one bad row that stops the reading of the others.
  Scenario: Rows of the part table are read as written, and bad ones are not used
    Then a suspected part is read as written
    And rows that hold no valid part are rejected

  # Guards against a trial that is used for request after request, as engines refuse them.
  Scenario: A trial of a part that engines refuse is not used for another request
    Given 9 simulated nodes
    When all engines are full as a bad part is in quarantine
    Then 3 seconds after the fifth end no more than 3 requests with the bad part reach engines

  # Guards against suspects that leave no room for the one that ends server after server.
  Scenario: A part is suspected in spite of thousands of other suspects
    Given a quarantine that knows no suspects
    When 10 engines end, each under a request with 900 new parts and the same bad one
    Then the bad part is in quarantine, and no more than 5000 suspects are known

  # Guards against a bound on the suspects of one end that drops the one which caused it.
  Scenario: A part is suspected in spite of many requests on the engines that end
    Given a quarantine that knows no suspects
    When 10 engines end, each under 96 requests with 72 parts, the 50th one with a bad part
    Then the bad part is in quarantine, and no more than 5000 suspects are known

  # Guards against suspects that keep later ones from being shared for minutes.
  Scenario: A crowd of suspects with one end each is forgotten early
    Given a quarantine that knows no suspects
    When 4 engines end, each under a request with 900 new parts and the same bad one
    And the quarantine is checked for 30 seconds
    Then a new suspect is shared with other nodes
