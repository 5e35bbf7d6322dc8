Feature: Requests through a system of separate processes
  Scenario: A prompt, a booking and a lookup are served end to end
    Given a system of three nodes
    When a prompt is sent to each node
    Then each answer equals the model's expected tokens
    When a booking is sent to "node-1" and repeated to "node-2" with the same key
    Then both answers are equal and the service executed the booking once
    When a lookup is sent to "node-3"
    Then it is answered by "records-1"
    When each node is stopped
    Then each exits with 0

  Scenario: The command that the demo prints works without a built program
    Given a system of three nodes
    When the command that the demo prints for "node-1" runs
    Then it ends with 0 and names "node-1"
