Feature: Slow start of servers that have just started or recovered, without a network
  # Guards against 28 slow starts of a server, one for each node, and against a returned
  # server that is left idle. Figures of a flood and of a fixed ramp are printed.
  Scenario Outline: A server that returns cold, with <nodes> nodes and answers of <seconds> s
    Given a failure domain of a deployment of <nodes> nodes with answers of <seconds> s
    When a server returns and warms up in 2 seconds from 0.3 of its places at half speed
    Then under 5 in 100 of its arrivals in the first 2 seconds are rejected
    And it has its fair share of work 3 seconds after it can run
    And all nodes together share one slow start

    Examples:
      | nodes | seconds |
      | 9     | 0.1     |
      | 9     | 0.4     |
      | 83    | 0.1     |
      | 83    | 0.4     |
      | 195   | 0.1     |
      | 195   | 0.4     |
      | 700   | 0.1     |
      | 700   | 0.4     |

  # Guards against a node that depends on the view: it may be lost at any time.
  Scenario Outline: A server that returns cold while no view arrives, with <nodes> nodes
    Given a failure domain of a deployment of <nodes> nodes with answers of 0.4 s
    And no view of the other nodes
    When a server returns and warms up in 2 seconds from 0.3 of its places at half speed
    Then under 5 in 100 of its arrivals in the first 2 seconds are rejected
    And it has its fair share of work 3 seconds after it can run

    Examples:
      | nodes |
      | 9     |
      | 83    |
      | 195   |
      | 700   |

  # Guards against taking a slower kind of accelerator for an overloaded server.
  Scenario Outline: A healthy server that is slow, with <nodes> nodes
    Given a failure domain of a deployment of <nodes> nodes with answers of 0.4 s
    When a server returns that always takes 2.5 times as long as expected
    Then under 5 in 100 of its arrivals in the first 2 seconds are rejected
    And it has its fair share of work 3 seconds after it can run

    Examples:
      | nodes |
      | 9     |
      | 83    |
      | 195   |
      | 700   |

  # Guards against nodes that each find out for themselves that the server rejects.
  # Each trial of a cold server is rejected, so that the 5 in 100 count once it can run.
  Scenario Outline: A server that rejects until it is warm, with <nodes> nodes
    Given a failure domain of a deployment of <nodes> nodes with answers of <seconds> s
    When a server returns that rejects everything for 1 second
    Then all nodes together have had at most 8 rejections until it can run
    And under 5 in 100 of its arrivals are rejected in 2 seconds since it can run
    And it has its fair share of work 3 seconds after it can run

    Examples:
      | nodes | seconds |
      | 9     | 0.1     |
      | 9     | 0.4     |
      | 83    | 0.1     |
      | 83    | 0.4     |
      | 195   | 0.1     |
      | 195   | 0.4     |
      | 700   | 0.1     |
      | 700   | 0.4     |

  # Guards against losing a server's worth of requests each time that it ends.
  Scenario Outline: A server that flaps, with <nodes> nodes
    Given a failure domain of a deployment of <nodes> nodes with answers of 0.4 s
    When a server runs 4 times for 1.5 seconds and is away for 1 second in between
    Then under 5 in 100 of its arrivals are rejected in all its runs
    And fewer of its requests are cut than in a flood
    And each node keeps the state of its last run only

    Examples:
      | nodes |
      | 9     |
      | 83    |
      | 195   |
      | 700   |

  # Guards against a release whose new servers fall over one after another.
  Scenario Outline: A release replaces all servers in turn, with <nodes> nodes
    Given a failure domain of a deployment of <nodes> nodes with answers of 0.4 s
    When all servers are replaced in turn and warm up in 2 seconds
    Then under 5 in 100 of the arrivals in each server's first 2 seconds are rejected
    And no request is refused

    Examples:
      | nodes |
      | 9     |
      | 83    |
      | 195   |
      | 700   |

  # Guards against a latency that looks like overload in all cases, or in none.
  Scenario: A server that is slow only when it is nearly full
    Given a failure domain of a deployment of 83 nodes with answers of 0.4 s
    When a server returns that is slow above 0.85 of its places
    Then under 5 in 100 of its arrivals in the first 2 seconds are rejected
    And it has its fair share of work 3 seconds after it can run

  # Guards against nodes that stop or flood once the view is lost halfway.
  Scenario: The view is lost half a second after a server has returned cold
    Given a failure domain of a deployment of 83 nodes with answers of 0.4 s
    And the view is lost half a second after the return
    When a server returns and warms up in 2 seconds from 0.3 of its places at half speed
    Then under 5 in 100 of its arrivals in the first 2 seconds are rejected
    And it has its fair share of work 3 seconds after it can run
