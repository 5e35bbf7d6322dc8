Feature: The client of the users' store
  Scenario: Rows are written under conditions, read and scanned
    Given the store's stand-in
    Then a row is written once, read, scanned and deleted
    And a write whose condition fails returns the current row
    And a write whose answer is lost is unclear, and its row is stored
    And a write to a table of the operators is refused with 403

  Scenario Outline: Refused writes are distinguished from unclear ones
    Given the store's stand-in
    When the store answers <status>
    Then a write is <outcome> and a read has failed

    Examples:
      | status | outcome |
      | 503    | unsent  |
      | 429    | unsent  |
      | 500    | unclear |

  Scenario: Objects are written, read and deleted
    Given the store's stand-in
    Then an object is written, read and deleted, and then reading it fails

  Scenario: A feed returns changes and reports the loss of its history
    Given the store's stand-in
    Then a feed returns written and deleted rows, with undecodable rows as deleted
    And after the store lost its history, the feed reports the loss

  # Guards against rows that are old for as long as a wait for changes lasts, as all open
  # connections fell silent and only new ones work.
  Scenario: A wait for changes moves to a new connection when another call gets no answer
    Given a store whose open connections fall silent
    When a node waits 20 seconds for changes of a table and calls the store meanwhile
    Then it has the changes within 2 seconds
    And no connection from before the silence is used again
