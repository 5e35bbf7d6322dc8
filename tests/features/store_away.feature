Feature: Outages and lost history of the store, without a network
  Scenario: A node with an outdated list writes no plan
    Given a fleet of engines, planned and loaded
    When the list has not been confirmed for 3 seconds and lacks an engine
    Then no plan is written
    When the list is confirmed again
    Then a plan without the lost engine is written within two seconds

  Scenario: Entries that expired during an outage may be registered again
    Given a fleet of engines, planned and loaded
    When the store is back and most entries are missing
    Then no engine is dropped for 1.7 seconds
    And those that are still missing after 2 seconds are gone

  Scenario: A draining engine is not used longer because the list was late
    Given a fleet of engines, planned and loaded
    Then an engine listed as draining 1.9 seconds after a confirmation drains from then on
    And one listed as draining 2.3 seconds after a confirmation from that confirmation on

  Scenario: Keys are accepted only while the configuration is confirmed
    Given a fleet of engines, planned and loaded
    Then a request is admitted with a configuration confirmed 2.9 seconds ago
    And refused as not run with one confirmed 3.1 seconds ago
    And a key or route is reported unknown only with one confirmed 1.4 seconds ago
    And with twice the time limit for changes, with one confirmed 2.8 seconds ago

  Scenario: Refusals during an outage give a short retry time
    Given a fleet of engines, planned and loaded
    Then a refusal with a configuration 3.1 seconds old gives a retry time of 0.5 seconds
    And a refusal with one 5.6 seconds old gives a retry time of 0.5 seconds

  Scenario: The configuration version never decreases
    Given a fleet of engines, planned and loaded
    When versions 5, 3 and 4 of the configuration arrive
    Then version 5 is in force

  Scenario: The store's clock bounds the age of its answers
    Then a slow answer confirms the rows for no later time than it can
