Feature: Spreading of model requests over pipelines and domains, without a network

  # Guards against nodes that all take the pipeline that was best in the same view.
  Scenario Outline: <nodes> nodes of a domain that choose at once spread over pipelines
    Given three domains of unlike engines with <nodes> nodes each, by a shared view
    When all nodes of the first domain choose at once
    Then at least <used> pipelines are used, each within its places
    And no used pipeline is predicted to be 1.5 times as slow as one less loaded

    Examples: 9, 83, 195 and 700 nodes in 3, 3, 5 and 34 domains; all 700 in one
      | nodes | used |
      | 3     | 1    |
      | 28    | 3    |
      | 39    | 3    |
      | 21    | 3    |
      | 700   | 4    |

  # Guards against equal counts on unlike pipelines, of which the slow ones are late.
  Scenario Outline: <requests> requests that stay fill unlike pipelines by predicted time
    Given three domains of unlike engines with 28 nodes each, by a shared view
    When <requests> requests start one after another in the first domain
    Then the predicted times of the used pipelines differ by at most a fifth
    And the numbers of their requests differ by at least 1.3 times

    Examples:
      | requests |
      | 100      |
      | 180      |

  # Guards against spills that flood the other domain, or one of two domains with room.
  Scenario Outline: 100 streams a second in a domain of <nodes> nodes with places for 60 spill
    Given three domains of unlike engines with <nodes> nodes each, by a shared view
    When 100, 10 and 10 streams a second arrive in the domains for 15 seconds
    Then streams of the first domain are sent to others and none of theirs to it
    And no predicted gap exceeds the goal
    And no domain has more than 1.25 times its places

    Examples:
      | nodes |
      | 3     |
      | 28    |
      | 39    |
      | 233   |

  Scenario: A domain whose places are taken sends a share of what waits, not all
    Given a spill beside domains with 30, 20 and 4 of 100 places free
    When each of 28 nodes has a request without a place 20 times a second for 4 seconds
    Then all is sent to the domain with most room
    And 28 nodes send 30 a second on average, within a tenth, and at most 36 in any

  Scenario: A spill of 100 requests is logged when it begins and when it ends
    Given a spill beside domains with 90, 20 and 4 of 100 places free
    When 100 requests without a place are sent, and none for 4 seconds
    Then its beginning and end are logged once each

  # Guards against streams that follow a wave after it has moved to another domain.
  Scenario: Waves of 100 streams a second that peak in one domain after another
    Given three domains of unlike engines with 28 nodes each, by a shared view
    When 100 streams a second arrive in each domain in turn for 5 seconds, three times
    Then no predicted gap exceeds the goal
    And no domain has more than 1.25 times its places

  Scenario: A domain with 25 streams a second whose engines are all 4 times slower
    Given three domains of unlike engines with 28 nodes each, by a shared view
    When all engines of the first domain report that they are 4 times slower
    And 25, 10 and 10 streams a second arrive in the domains for 15 seconds
    Then streams of the first domain are sent to others and none of theirs to it

  Scenario Outline: An engine that is full gets no request from <nodes> nodes while it holds
    Given three domains of unlike engines with <nodes> nodes each, by a shared view
    When a <place> engine of the fastest pipeline is full and all nodes choose
    Then no node uses it
    And all nodes choose some pipeline even if all engines are full

    Examples:
      | nodes | place  |
      | 28    | first  |
      | 28    | middle |
      | 700   | first  |

  # Guards against decisions by values that are missing.
  Scenario Outline: <nodes> requests at once choose as without a view while it is <state>
    Given three domains of unlike engines with <nodes> nodes each, by a shared view
    When the view is <state> and a node starts 200 requests
    Then each has the pipeline that a node without a view chooses
    And the places are <places>

    Examples:
      | nodes | state   | places  |
      | 9     | unknown | unknown |
      | 28    | unknown | unknown |
      | 28    | unused  | unknown |

  # Guards against spills that send all requests, as none is known to arrive elsewhere.
  Scenario Outline: Without a queue, a request of several attempts arrives <count> times if its service <uses> the view
    Given an engine that refuses to resume a stream that has begun
    And its service <uses> the shared view
    When a caller waits for the stream for 2 seconds
    Then <count> requests are recorded as arrived

    Examples:
      | uses         | count |
      | uses         | 1     |
      | does not use | 0     |

  Scenario: Places are counted for pipelines that can run
    Given three domains of unlike engines with 28 nodes each, by a shared view
    When 50 requests start one after another in the first domain
    Then the free places are those of its pipelines less 50, and others are told
    And the places of a service that was removed are told no more
    And a suspected or silent engine takes the places of its pipeline away
    And a pipeline whose places are taken has none

  Scenario: Use that cannot be right is not used
    Given three domains of unlike engines with 28 nodes each, by a shared view
    Then uses of -1, nan and 385 requests count as unknown

  Scenario Outline: A model's <key> of <value> is read as <read>
    Given a configuration whose engine has <key> of <value>
    Then the model's <key> is <read>

    Examples:
      | key           | value  | read      |
      | context_per_k | 0.0123 | 0.0000123 |
      | context_per_k | -1     | 0.0       |
      | context_per_k | "x"    | 0.0       |
      | context_per_k | NaN    | 0.0       |
      | stride        | 5      | 5         |
      | stride        | 0      | 1         |
      | stride        | 1e9    | 1         |
      | stride        | null   | 1         |

  # Guards against chains of other domains that are counted anew for each engine.
  Scenario: A choice by the view while layers are lost looks once at each other domain
    Given three domains of unlike engines with 28 nodes each, by a shared view
    Then a choice while layers are lost here and others have no room counts each domain once, in any order of the list

  Scenario: A choice by the view at 33 engines here and 84 in all takes no more work
    Given three domains of unlike engines with 28 nodes each, by a shared view
    Then a choice takes at most 1.2 times the function calls of one without a view
