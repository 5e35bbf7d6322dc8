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
