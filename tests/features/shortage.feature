Feature: Requests that wait for places, decided without a network
  Scenario Outline: Demand of twice the places for 10 s, at <nodes> nodes that decide alone
    Given <nodes> nodes that see <places> places one interval late
    When three priorities ask for twice the places for 10 seconds
    Then at most a tenth more requests run than there are places
    And less than a tenth of the places are idle while requests wait
    And priority 0 is served at or above the fraction of the others
    And no priority and no account is served below a quarter of the fraction of all

    Examples:
      | nodes | places |
      | 9     | 200    |
      | 83    | 332    |
      | 195   | 780    |
      | 700   | 2800   |

  Scenario: Nine tenths of the capacity are used without refusals or late starts
    Given 83 nodes that see 332 places one interval late
    When three priorities ask for nine tenths of the places
    Then at least 95 in 100 of each priority start in time for their goal

  Scenario: A burst of the least urgent priority leaves the others unharmed
    Given 9 nodes that see 200 places one interval late
    When priority 2 asks for three times the places besides half of them for the others
    Then at least 95 in 100 requests of priority 0 are served
    And priority 0 is served at or above the fraction of the others
    And no priority and no account is served below a quarter of the fraction of all
    And less than a tenth of the places are idle while requests wait

  Scenario: A burst of the most urgent priority does not starve the others
    Given 9 nodes that see 200 places one interval late
    When priority 0 asks for twice the places besides half of them for the others
    Then priority 0 is served at or above the fraction of the others
    And no priority and no account is served below a quarter of the fraction of all

  Scenario: An account with most of the demand does not crowd out small ones
    Given 9 nodes that see 200 places one interval late
    When one account asks for 17 times as much as each of three others
    Then each small account is served at or above the fraction of the large one
    And no priority and no account is served below a quarter of the fraction of all

  Scenario: Accounts that ignore Retry-After gain little over those that honour it
    Given 9 nodes that see 200 places one interval late
    When callers of one of two accounts come back at once after each refusal
    Then the account that honours the times is served at least half as often
    And at most a tenth more requests run than there are places

  Scenario: Places lost suddenly are not filled again until streams have ended
    Given 9 nodes that see 200 places one interval late
    When half of the places are lost under full load
    Then few requests start until the running ones fit the places
    And less than a tenth of the places are idle while requests wait

  Scenario: A request without a chance is refused at once with a time to return
    Given a node whose places are full and 200 requests that wait in the domain
    When a request of priority 1 arrives with 20 seconds left
    Then it is refused at once, to come back between 0.5 and 6.7 seconds later
    And the next ones are told to come back later than it

  Scenario: A resumed stream starts ahead of all and is never refused
    Given a node whose places are full and 200 requests that wait in the domain
    When a caller resumes a stream
    Then it starts at once

  Scenario: The last in the order is refused when the queue is full
    Given a node with 256 waiting requests of priority 1
    When a request of priority 0 arrives with 20 seconds left
    Then the last of the waiting ones is refused and 256 wait

  Scenario: Requests that can be in time go before late ones, and small accounts first
    Then the order is by priority, lateness, service of the account by weight, deadline

  Scenario: Without a view nothing waits
    Given a node with 3 waiting requests of priority 1
    When the view becomes unknown
    Then all of them start

  Scenario: Invalid priorities and weights count as the nearest valid ones
    Then priorities -3, 12, "x" and 2 count as 0, 9, 9 and 2
    And weights 0, -1, "x", nan and 2.5 count as 1, 1, 1, 1 and 2.5
    And a tenant's weight is decoded, and 1 where it is missing or invalid

  Scenario: A request whose caller leaves while it waits leaves no trace
    Given a node of a domain without free places, and 5 waiting requests
    When the callers of 3 of them leave
    Then 2 requests wait, here and in the counts for other nodes
    When the node stops
    Then 0 requests wait, here and in the counts for other nodes

  Scenario: An ended stream wakes one waiting request, and no others
    Given a node of a domain without free places, and 20 waiting requests
    When an own stream ends
    Then 1 of them starts at once, after 1 further choice of a pipeline

  Scenario: A new view lets requests start within 0.1 s
    Given a node of a domain without free places, and 5 waiting requests
    When a view shows 100 free places
    Then all 5 start within 0.1 seconds

  Scenario: A request that was cancelled as it started returns its place
    Given a node of a domain without free places, and 2 waiting requests
    When an own stream ends and the caller of the started request leaves at once
    Then the other one has started, and holds the only place

  Scenario: A request that waits in vain is refused while its caller still waits
    Given a node of a domain without free places, and 5 waiting requests
    When 1.3 seconds pass without a free place
    Then all 5 are refused as "shortage" with a time to return

  Scenario: A pipeline without a place is tried again, but not by all
    Given a node of a domain without free places, and 20 waiting requests
    When a view shows 100 free places and no first engine has one
    Then after 0.5 seconds 20 requests wait, after 25 choices of a pipeline at most

  Scenario: A service that does not use the view is served as before
    Given a node that does not use the view for its service
    When 5 model requests arrive there
    Then all 5 start within 0.1 seconds
    And a request that full engines rejected is told to return in 0.5 seconds

  Scenario: A service whose view is unknown is served as before
    Given a node whose view is unknown
    When 5 model requests arrive there
    Then all 5 start within 0.1 seconds
    And a request that full engines rejected is told to return in 0.5 seconds

  Scenario: Full engines name the predicted wait as the time to return
    Given a node of a domain without free places, and 35 waiting requests
    Then a request that full engines rejected is told to return in 0.6 seconds or more

  Scenario: A request refused by the queue is not sent, and one that ends leaves no place
    Given a node of a domain without free places, and 2 waiting requests
    When a further request comes through the whole exchange for 1.5 seconds
    Then it is refused as "shortage", was not sent and holds no place
    And one that comes while there are places is sent, and holds no place once it ends
