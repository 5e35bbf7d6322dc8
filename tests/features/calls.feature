Feature: Calls that may not be repeated run at most once, and refusals are true

  Scenario Outline: Seeded faults, with a backend server that <checks> and <asks>
    When 150 seeded runs go through kills, pauses, lost and late answers
    Then no call ran twice, no refused call ran and no answered call is absent
    And calls left unknown at last are <unknown>

    Examples:
      | checks         | asks              | unknown                      |
      | checks fencing | can be asked      | none                         |
      | ignores it     | can be asked      | those never seen to run      |
      | checks fencing | cannot be asked   | those whose answer was lost  |
      | ignores it     | cannot be asked   | those whose answer was lost  |

  Scenario Outline: A policy that <fault> is found out by the same runs
    When 60 seeded runs go to a policy that <fault>
    Then the runs show <breach>

    Examples:
      | fault                                | breach              |
      | repeats what was not answered        | duplicates          |
      | repeats what was not answered        | refused calls run   |
      | takes an unclear write for written   | duplicates          |
      | trusts an answer without a fence     | duplicates          |
      | calls a lost answer not run          | refused calls run   |

  Scenario: The same key with another body is refused, also at another node
    Given three model nodes
    When a key is used at one node and then with another body at the next
    Then the second request is refused as "idempotency_key_reused"

  Scenario: While the table is known to be down, calls are refused at once
    Given three model nodes
    When the table goes down and two calls come one after the other
    Then the second is refused as "store_unavailable" without a write

  Scenario: Old rows are removed and rows of other client accounts stay apart
    Given three model nodes
    When calls end and more than the keeping time passes
    Then their rows are gone

  Scenario Outline: Group writes hold whatever conflicts, with <count> writes a group
    Given any order of writes, conflicts and lost answers
    Then every write in groups of <count> is told once, and conflicts alone fail

    Examples:
      | count |
      | 1     |
      | 7     |
      | 100   |

  Scenario: Lookups are hedged and repeated within their budget alone
    Given a lookup controller with two backend servers
    When lookups hang, fail and come back
    Then each is answered once, losers are cancelled and retries keep to the budget

  Scenario: Real processes are killed, paused and cut off from the table
    Given a running system with three nodes and four kinds of services
    When bookings go through kills, pauses, outages and two nodes at once
    Then the services ran none twice and none that was refused
    And every booking answered done was run
    And a stored answer is told at any node
