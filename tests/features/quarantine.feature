Feature: Parts of prompts that crash engines

  Scenario: The parts of a prompt but the last are read from its header field
    Then these header fields give these parts
      | field             | parts |
      | a:800,b:410,c:250 | a b   |
      | a:800, b:410 ,c:2 | a b   |
      | a:800             |       |
      | a:800,b           |       |
      | a:800,:3,c:2      |       |
      | a:x,b:3           |       |
    And a request without the field has no parts
    And no more than 64 parts of a longer prompt are read

  Scenario: The log of a broken attempt names the parts and the events of that run
    Given a stream whose engine ends after 1 event in each run
    When its request is served
    Then each broken attempt is logged with its parts and 1 event

  Scenario Outline: A part that has ended five engines reaches no further ones from any node
    Given <nodes> simulated nodes
    When sound requests and 5 a second with a bad part come at any of them for <seconds> seconds
    Then 3 seconds after the fifth end no more than 3 requests with the bad part reach engines
    And 6 seconds after it sound requests begin as elsewhere

    Examples:
      | nodes | seconds |
      | 9     | 30      |
      | 84    | 30      |
      | 700   | 10      |

  Scenario: One request ends no more than two engines
    Given 9 simulated nodes
    When a single request with a bad part comes
    Then it has ended no more than 2 engines
