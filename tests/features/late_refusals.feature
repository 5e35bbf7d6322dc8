Feature: Refusals that come once more on a kept connection

  # Guards against taking an earlier refusal for that of the request that runs: its caller
  # is told that it has not run, or it runs at a second server as well.
  Scenario Outline: A <kind> that runs as an earlier refusal comes <form> is not taken for one that has not run
    Given a system on the platform
    And servers that refuse a request and write the refusal once more <form>
    When a caller sends a <kind> after another one was refused on the same connections
    Then it is answered with 200, or told that its outcome is unknown
    And a <kind> that may not be repeated ran once at most

    Examples:
      | kind    | form          |
      | lookup  | with its id   |
      | lookup  | without an id |
      | booking | with its id   |
      | booking | without an id |
      | stream  | with its id   |
      | stream  | without an id |

  # Guards against a refusal of the same request, which has the same id.
  Scenario: A stream that an engine refused is sent to it again on another connection
    Given a system on the platform
    And servers that refuse a request and write the refusal once more with its id
    When a caller sends a stream that all first engines refuse once
    Then no engine wrote a refusal once more to a request that it ran
