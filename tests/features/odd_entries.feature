Feature: Odd entries of other writers

  # Guards against an error that ends the reading of a table, an answer or a message, as
  # one value in it is odd.
  Scenario Outline: A reader of <what> rejects odd values with its own error
    Then each field of <what> may be replaced by any odd value

    Examples:
      | what                  |
      | backend servers       |
      | configurations        |
      | nodes                 |
      | plans                 |
      | suspects              |
      | reports of engines    |
      | queries for rows      |
      | reports of rows       |
      | queries for permits   |
      | replies with permits  |
      | requests for votes    |

  # Guards against header fields of answers that end the request, or its connection.
  Scenario: Odd header fields of answers are ignored or fail that answer alone
    Then each header field of an answer may have any odd text
    And each number in a caller's header fields may be any odd text
    And ids of events may be any odd text

  # Guards against rows that are too deep to be passed on to other nodes.
  Scenario: A row of the store that is nested too deeply is read as one without a value
    Given a page of rows, one of them nested 500 levels deep and one 100000
    Then both are read without a value and the others as written
    And a transaction that meets them learns their versions

  # Guards against one odd row that keeps a node from all others of a message.
  Scenario: An odd table in another node's message costs that table alone
    Given a message of another node with an odd table
    Then the other tables of the message are read

  # Guards against one odd entry in a report that hides the others.
  Scenario: An odd entry among the stalled requests of a report costs itself alone
    Given a report with an odd entry among its stalled requests
    Then the other stalled requests are read

  # Guards against nodes that end, or stop following the list, for one odd entry.
  Scenario: Nodes go on to follow the list of servers beside odd entries
    Given a system of 10 nodes on the platform
    When odd entries are written among those of the servers
    And a server is added and another one leaves
    Then each node follows the list and sends requests to the new server
    And no task of a node has failed
