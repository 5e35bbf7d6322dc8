Feature: Package metadata
  Scenario: The package states its version
    Given the installed package
    Then its version has three parts
