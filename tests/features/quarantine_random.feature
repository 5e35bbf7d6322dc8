Feature: Parts of prompts that crash engines, in random systems

  # Guards against a bound that holds only for the systems of other scenarios.
  Scenario Outline: Any prompts, rates and orders of events lead to the same bound
    Then it holds for random systems of <nodes> nodes with one or two bad parts

    Examples:
      | nodes |
      | 9     |
      | 84    |

  # Guards against a bound that holds only while nothing else goes wrong.
  Scenario Outline: Nodes in touch keep the bound beside other disturbances
    Then it holds for random systems of <nodes> nodes beside restarts, a lost store and other ends

    Examples:
      | nodes |
      | 9     |
      | 84    |

  # Guards against bad parts that run again as soon as a part is released that explained
  # the ends of engines under them.
  Scenario Outline: Two bad parts that come with the first requests are kept from engines
    Then it holds for two bad parts, each <rate> times a second, among few sound requests from the start on, with seed <seed>

    Examples:
      | rate | seed |
      | 20   | 1029 |
      | 8    | 6003 |
