Feature: Nodes relay the table of suspected parts of prompts, without a network

  # Guards against a table that the relay does not pass on, so that nodes far down in a
  # tree read it only when its rows are 23 seconds old, and against reads of the store by
  # each node. Readers read each change, and once more when a wait of 20 seconds ends.
  Scenario Outline: <nodes> nodes learn of suspected parts, with calls for each domain
    Given <nodes> nodes in <domains> failure domains, started within 0.3 seconds
    When 20 rows of suspected parts are written in 4 seconds
    Then each node has each row within 3 seconds
    And the table was read at most <calls> times for each failure domain
    And no node took its rows for newer than they were
    When the nodes run for 20 seconds
    Then the table was read at most <idle> times for each failure domain

    # With few nodes in a failure domain each reads for itself.
    Examples:
      | nodes | domains | calls | idle |
      | 9     | 3       | 63    | 6    |
      | 84    | 3       | 42    | 4    |
      | 195   | 5       | 42    | 4    |

  # Guards against nodes that keep a source without news of the table, as it is chosen by
  # the age of the configuration.
  Scenario Outline: <nodes> nodes learn of suspected parts when <fault>
    Given <nodes> nodes in <domains> failure domains, started within 0.3 seconds
    When <fault>, while a row of a suspected part is written each second for 12 seconds
    Then each other node has each row within 3 seconds
    And no node took its rows for newer than they were

    Examples:
      | nodes | domains | fault                                              |
      | 84    | 3       | a reader is frozen for 8 seconds                   |
      | 84    | 3       | a reader is cut from the store                     |
      | 84    | 3       | a reader is cut from its neighbors                 |
      | 84    | 3       | all readers of a domain are killed                 |
      | 84    | 3       | all readers of a domain are frozen for 8 seconds   |
      | 84    | 3       | all but one node of a domain are cut from the store |
      | 195   | 5       | all readers of a domain are killed                 |
