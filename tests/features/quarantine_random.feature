Feature: Parts of prompts that crash engines, in random systems

  # Guards against a bound that holds only for the systems of other scenarios.
  Scenario: Any prompts, rates and orders of events lead to the same bound
    Then it holds for random systems with one or two bad parts
