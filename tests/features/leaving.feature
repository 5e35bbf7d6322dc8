Feature: Backend servers that are leaving
  Scenario Outline: The first source that reports a departure counts
    Given a node that knows engine-1 and the service bookings
    When <report>
    Then engine-1 takes no new work

    Examples:
      | report                                    |
      | the list shows engine-1 as leaving        |
      | the list no longer shows engine-1         |
      | an operator drains engine-1               |
      | engine-1 reports that it is leaving       |
      | engine-1 refuses work as leaving          |
      | a peer reports that engine-1 is leaving   |

  Scenario: A service's own refusal counts too
    Given a node that knows engine-1 and the service bookings
    When bookings-1 refuses work as leaving
    Then the service bookings has no backend server for new work

  Scenario: Neither an older report nor the list revokes an engine's own report
    Given a node that knows engine-1 and the service bookings
    When engine-1 reports that it is leaving
    And the list shows engine-1 as live
    Then engine-1 takes no new work
    When an older report of engine-1 says that it is not leaving
    Then engine-1 takes no new work
    When a newer report of engine-1 says that it is not leaving
    Then engine-1 takes new work

  Scenario: A restarted engine takes new work
    Given a node that knows engine-1 and the service bookings
    When engine-1 reports that it is leaving
    And engine-1 reports under a new incarnation
    Then engine-1 takes new work
    When a peer reports that engine-1 was leaving at its old incarnation
    Then engine-1 takes new work

  Scenario: A list older than the last one changes nothing
    Given a node that knows engine-1 and the service bookings
    When the list shows engine-1 as leaving
    And an older list shows engine-1 as live
    Then engine-1 takes no new work

  Scenario: An undrained engine takes new work
    Given a node that knows engine-1 and the service bookings
    When an operator drains engine-1
    And an operator drains nothing
    Then engine-1 takes new work

  Scenario: While the list cannot be read, the last one stays in force
    Given a node that knows engine-1 and the service bookings
    When the list cannot be read for an hour
    Then engine-1 takes new work

  Scenario Outline: Leaving backend servers receive no new work, by <way>
    Given a system of three nodes with traffic
    When "engine-2" and "records-1" begin to leave by <way>
    Then within 6 seconds they receive no new work
    And no answer was wrong or refused

    Examples:
      | way              |
      | their own report |
      | the list         |
      | an operator      |
