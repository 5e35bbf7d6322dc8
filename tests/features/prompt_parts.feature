Feature: Parts of prompts that crash engines
  # Guards against sending requests with a part that has crashed engines to further ones.
  Scenario Outline: Requests with a crashing part reach no engine after five have ended <when>
    Given a system on the platform
    And engines that crash <when> and are started again
    When requests with the crashing part come beside sound ones
    Then at most five engines have ended
    And none of those requests reached an engine later than 3 seconds after the fifth end
    And from then on each of them is refused at once with 503 and a retry time

    Examples:
      | when            |
      | before an event |
      | after one event |

  # Guards against parts that no bound on their number or names, and no malformed
  # neighbor, keeps from being suspected.
  Scenario Outline: Requests with a crashing part that is <form> reach no engine after five have ended
    Given a system on the platform
    And engines with a crashing part that is <form>
    When requests with the crashing part come beside sound ones
    Then at most three of those requests reached an engine later than 3 seconds after the fifth end
    And from then on each other one is refused at once with 503 and a retry time
    And each sound request that came 6 seconds after the last end is answered at each node

    Examples:
      | form                            |
      | the 71st                        |
      | the 899th                       |
      | the 100th while others are new  |
      | of 140 characters               |
      | beside a malformed entry        |

  # Guards against ends that are never confirmed, as the engine's address is in use again
  # under another name, and may not refuse connections in the meantime.
  Scenario Outline: Requests with a crashing part stop though engines come back under other names
    Given a system on the platform
    And engines that crash before an event and come back under another name at the same address, where connections are <meanwhile> meanwhile
    When requests with the crashing part come beside sound ones
    Then at most five engines have ended
    And none of those requests reached an engine later than 3 seconds after the fifth end
    And from then on each of them is refused at once with 503 and a retry time

    Examples:
      | meanwhile  |
      | refused    |
      | unanswered |

  # Guards against refusing sound requests that share parts and the key with others.
  Scenario: Sound requests are served beside requests with a crashing part
    Given a system on the platform
    And engines that crash before an event and are started again
    When requests with the crashing part come beside sound ones
    Then no sound request is refused with a status of 4xx
    And each sound request that came 6 seconds after the last end is answered at each node

  # Guards against a restarted node that has forgotten which parts crash engines.
  Scenario: A restarted node sends no requests with a crashing part
    Given a system on the platform
    And engines that crash before an event and are started again
    When requests with the crashing part come beside sound ones
    And a node is killed and started again
    Then requests with the crashing part reach no engine from each node
    And at most five engines have ended

  # Guards against one request that crashes one engine after the other.
  Scenario: One request with a crashing part ends at most two engines
    Given a system on the platform
    And engines that crash before an event and are started again
    When 4 requests with the crashing part come, each after a repair
    Then none of them has ended more than two engines
