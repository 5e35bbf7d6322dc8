Feature: Non-repeatable calls run at most once, and refused calls do not run

  Scenario Outline: Seeded faults with a backend server that <checks> and <answers>
    When 150 seeded runs go through crashes, pauses and lost or late answers
    Then no call ran twice, no refused call ran and every answered call ran
    And the calls with an unknown final outcome are <unknown>

    Examples:
      | checks          | answers                    | unknown                     |
      | checks fencing  | answers outcome queries    | none                        |
      | ignores fencing | answers outcome queries    | those that never ran        |
      | checks fencing  | answers no outcome queries | those whose answer was lost |
      | ignores fencing | answers no outcome queries | those whose answer was lost |

  Scenario Outline: The same runs detect a policy that <fault>
    When 60 seeded runs go to a policy that <fault>
    Then the runs show <breach>

    Examples:
      | fault                              | breach                 |
      | retries unanswered attempts        | duplicates             |
      | retries unanswered attempts        | refused calls that ran |
      | treats an unclear write as written | duplicates             |
      | trusts an outcome without a fence  | duplicates             |
      | treats a lost answer as not run    | refused calls that ran |

  Scenario: The same key with another body is refused, also at another node
    Given three simulated nodes
    When a key is used at one node and then with another body at another node
    Then the second request is refused as "idempotency_key_reused"

  Scenario: While the table is known to be down, calls are refused immediately
    Given three simulated nodes
    When the table goes down and two calls arrive one after the other
    Then the second is refused as "store_unavailable" without a write

  Scenario: Expired rows are removed and rows of other client accounts stay separate
    Given three simulated nodes
    When calls end and the retention time passes
    Then their rows are gone

  Scenario Outline: Group writes are correct under any conflicts, with <count> writes a group
    Given any order of writes, conflicts and lost answers
    Then every write in groups of <count> is reported once, and only conflicts fail

    Examples:
      | count |
      | 1     |
      | 7     |
      | 100   |

  Scenario: Lookups are hedged and retried only within their budget
    Given a lookup controller with two backend servers
    When lookups hang, fail and are answered
    Then each is answered once, other attempts are cancelled and retries stay in budget

  Scenario: Real processes are killed, paused and cut off from the table
    Given a running system with three nodes and four kinds of services
    When bookings go through crashes, pauses, outages and concurrent nodes
    Then the services ran no booking twice and no refused booking
    And every booking answered as done was run
    And every node returns a stored answer
