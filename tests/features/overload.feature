Feature: Overload
  Scenario Outline: Goodput stays near the bound and small accounts are served
    When requests arrive at <load> times the bound
    Then fair admission serves at least <goodput> of the bound in time
    And no admitted request ends after its deadline
    And every small account's request is answered, 95% within 4 s
    And 99% of refusals come within a second, with a Retry-After

    Examples:
      | load | goodput |
      | 0.5  | 0.47    |
      | 1.0  | 0.95    |
      | 2.0  | 0.97    |
      | 4.0  | 0.97    |

  Scenario: The fair queue serves by weight and loses no request
    Then any mix of accounts is served in full, each backlogged one by its weight

  Scenario: Each priority step halves an account's share
    Then an account of any weight gets half the share at each next priority

  Scenario: A request that left the queue is neither started nor refused later
    Given a node whose engines are full and one queued request
    When the queued request's caller disconnects
    Then no command names that request afterwards

  Scenario: A queued request is refused as soon as its deadline cannot be met
    Given a node whose engines are full and one queued request
    When time passes without a free slot
    Then it is refused once as "deadline_unreachable" while its caller still waits

  Scenario: An answer whose attempt is replaced after a gap keeps its slot
    Given a node whose only slot is in use and one queued request
    When the engines end the running answer before its last token
    Then the answer is restarted and the queued request stays queued
    When the engines report the running answer complete
    Then the queued request is started

  Scenario: A node at its bounds refuses early
    Given a node bounded to 5 requests
    When 8 requests arrive
    Then 3 are refused as "node_overloaded"
    When one of them ends
    Then the next request is admitted

  Scenario: A node that holds too many bytes refuses early
    Given a node bounded to 10000 bytes
    When a long prompt arrives
    Then the arrival is refused as "node_overloaded"

  Scenario: A node process enforces the bounds of its settings
    Given a node process whose settings limit held bytes to one mebibyte
    Then a prompt of 20000 words is refused as "node_overloaded" and a short one is not

  Scenario: Small accounts are answered while a large one floods a node process
    Given a node in front of slow engines with a large and a small account
    When the large account sends four times the engines' capacity
    Then every request of the small account is answered in time
    And the large account was refused early as "deadline_unreachable"
    And nearly all requests that reached the engines were answered
