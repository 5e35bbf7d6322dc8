Feature: Sound servers that are silent for a second
  # Guards against losing or repeating a booking because its server is silent.
  Scenario Outline: A booking whose servers are silent <when> its run is answered by that run
    Given a system on the platform
    And routes to the plain service with a time limit of 5 seconds
    When the servers are silent for a second <when> the run of a booking
    Then the booking is answered with 200 by its only run
    When the servers are silent <when> the run of a booking, while the operator adds a route
    Then the booking is answered with 200 by its only run

    Examples:
      | when   |
      | before |
      | during |

  # Guards against giving up lookups because their servers are silent.
  Scenario: Lookups are answered while one or all of their servers are silent
    Given a system on the platform
    And routes to the plain service with a time limit of 5 seconds
    When only s1 is silent for a second during a lookup
    Then the lookup is answered with 200
    When both s1 and s2 are silent for a second during a lookup
    Then the lookup is answered with 200
    And each server is used again within 10 seconds

  # Guards against cutting off a stream because its engine is silent for a second.
  Scenario: A stream outlasts a silent engine and a change of the configuration
    Given a system on the platform
    When the first engine of a stream is silent while the operator adds a route
    Then the answer has each event once and in order
