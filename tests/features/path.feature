Feature: The whole path as separate processes
  Scenario: A prompt, a booking and a lookup are served from one end to the other
    Given a system of three nodes
    When a prompt goes to each node
    Then each answer is what the model gives undisturbed
    When a booking goes to "node-1" and again to "node-2" with the same key
    Then both answers are the same and the service ran it once
    When a lookup goes to "node-3"
    Then it is answered by "records-1"
    When each node is told to stop
    Then each exits with 0

  Scenario: The command that the demo prints works before anything is built
    Given a system of three nodes
    When the command that the demo prints for "node-1" runs
    Then it ends with 0 and names "node-1"
