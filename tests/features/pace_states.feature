Feature: State of slow starts, and signals that mislead
  # Guards against a slow start of all servers at once, when there is no other one.
  Scenario: Servers known since the first start have no slow start
    Given a pace of a domain of 28 nodes
    When a server is listed that is known since the first start
    Then it has all its places

  # Guards against state that outlives servers, or ends with a lapse of the list.
  Scenario: State ends with the run of a server, and not with a lapse of its entry
    Given a pace of a domain of 28 nodes
    When a server has had its slow start
    And it is missing in the list for 9 seconds and listed again
    Then it has all its places
    When the next run of it is listed
    Then it has 2 places
    When it is missing in the list for 11 seconds
    Then nothing is known of it

  # Guards against places that nodes count twice, or that no node has.
  Scenario Outline: Places are divided among nodes without a rest, with <nodes> nodes
    Then the nodes of a deployment of <nodes> nodes have exactly the places of a server

    Examples:
      | nodes |
      | 9     |
      | 83    |
      | 195   |
      | 700   |

  # Guards against a start that never ends where there is little work.
  Scenario: A server with little work ends its slow start after 10 seconds
    Given a pace of a domain of 28 nodes
    When a server is listed and gets no requests for 10 seconds
    Then it has all its places

  # Guards against trials by each node, and against giving up.
  Scenario: A server that rejects everything for a minute gets two trials a second
    Given a pace of a domain of 28 nodes
    When a server rejects each request for 60 seconds
    Then it had at most 2 trials a second, and more than 1
    And its slow start goes on

  # Guards against nodes that learn of an overload only from their own requests.
  Scenario: A rejection at another node counts here
    Given a pace of a domain of 28 nodes with a view
    When all nodes use a server for a second
    And another node's rejection shows in the view
    Then it has fewer places than before

  # Guards against a server whose reports are sound while its responses are not.
  Scenario: Good probes and bad responses
    Given a pace of a domain of 28 nodes
    When a server responds to probes and fails requests for 20 seconds
    Then it has 1 place

  # Guards against an exception in the choice of a server of slow responses.
  Scenario: A server whose responses take an hour is asked again after an hour
    Given a pace of a domain of 28 nodes with a view
    When a server of which responses take 3600 seconds rests for that time
    Then it has all its places

  # Guards against a server that is kept idle for a single fast response.
  Scenario: A fast response does not make all later ones late for ever
    Given a pace of a domain of 28 nodes
    When a slow server once responds in a tenth of its time
    Then it has all its places within 10 seconds

  # Guards against values of another kind, which must change nothing.
  Scenario: Invalid times of responses are ignored
    Given a pace of a domain of 28 nodes
    When a server is listed and responses have invalid times
    Then it has 2 places

  # Guards against a server that takes requests and never responds.
  Scenario: A server that accepts requests and never responds
    Given a pace of a domain of 28 nodes
    When a server accepts requests and gives no response for 3 seconds
    Then this node has at most 1 request there
