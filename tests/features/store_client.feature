Feature: The client of the users' store
  Scenario: Rows are written under conditions, read and scanned
    Given the store's stand-in
    Then a row is written once, read, scanned and deleted
    And a write whose condition fails tells the row that stands
    And a write whose answer is lost is unclear, and its row is there
    And a write to a table of the operators is known to have had no effect

  Scenario Outline: The store's refusals are told from unclear writes
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

  Scenario: A feed tells changes, and that its history is lost
    Given the store's stand-in
    Then a feed tells a written and a deleted row, and what cannot be read as gone
    And after the store forgot, the feed says that its history is lost
