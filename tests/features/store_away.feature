Feature: The store is away or forgets, without a network
  Scenario: A node with an old list plans nothing
    Given the engines of a site, planned and loaded
    When the list has not been proven for 3 seconds and an engine is gone from it
    Then no plan is written
    When the list is proven again
    Then a plan without the lost engine is written within two seconds

  Scenario: Entries that lapsed while the store was away may come back
    Given the engines of a site, planned and loaded
    When the store is back and most entries are missing
    Then no engine is dropped for 1.7 seconds
    And those that are still missing after 2 seconds are gone

  Scenario: Keys are trusted only while the configuration is proven
    Given the engines of a site, planned and loaded
    Then a request is admitted with a configuration proven 2.9 seconds ago
    And refused as not run with one proven 3.1 seconds ago
    And a key or route is denied only with one proven 1.4 seconds ago

  Scenario: Callers keep their retry while the store may be away for all nodes
    Given the engines of a site, planned and loaded
    Then one refused with knowledge 3.1 seconds old comes back after half a second
    And one refused with knowledge 5.6 seconds old after half a second

  Scenario: A version never goes back
    Given the engines of a site, planned and loaded
    When versions 5, 3 and 4 of the configuration arrive
    Then version 5 is in force

  Scenario: The store's clock proves the age of what it said
    Then an answer that took long proves no more than it can
