Feature: The platform's list of VMs
  Scenario: A list that has not changed is not sent again
    Given a platform that lists "engine-1" and "node-1"
    When the list is read twice
    Then both times "engine-1, node-1" are listed
    And the platform sent its list 1 time
    When "engine-2" joins and the list is read
    Then "engine-1, engine-2, node-1" are listed

  Scenario: An invalid row does not affect the other rows
    Given a platform that lists "engine-1" and "node-1"
    And a row of an unknown role and one without an address
    When the list is read twice
    Then both times "engine-1, node-1" are listed
