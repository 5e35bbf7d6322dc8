Feature: Requests that crash servers, in random systems

  # Guards against a bound that holds only for the systems of other scenarios, or only
  # while nothing else goes wrong.
  Scenario Outline: Nodes in touch keep requests that crash servers from them
    Then it holds for random systems of <nodes> nodes with such requests beside restarts, a lost store and other ends

    Examples:
      | nodes |
      | 9     |
      | 84    |
