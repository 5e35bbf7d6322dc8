Feature: Backend servers that leave or ask for silence in their answers
  Scenario Outline: A leaving engine is left within the drain bound of <bound> ms whatever the list says
    Given a planned fleet with a drain bound of <bound> milliseconds
    When the first engine of a pipeline says that it leaves
    And the list names it as ready once more
    Then it is in no pipeline once the bound has passed
    When a new run of it is listed
    Then it may be in a pipeline again

    Examples:
      | bound |
      | 500   |
      | 2000  |
      | 4000  |

  # Guards against using a leaving engine again once its lapsed entry is back.
  Scenario Outline: A leaving engine stays left when it is known <how> and its entry lapses
    Given a planned fleet with a drain bound of 2000 milliseconds
    When the departure of a first engine is known <how> and its entry is away for 5 seconds
    And its entry is back as draining
    Then it is in no pipeline now
    When a new run of it is listed
    Then it may be in a pipeline again

    Examples:
      | how                         |
      | from its answers            |
      | from the list               |
      | from its missing entry      |
      | from an answer without entry |

  # Guards against ending the streams of a leaving engine with it once its entry lapses.
  Scenario: A leaving engine without an entry is still one that leaves
    Given a planned fleet with a drain bound of 2000 milliseconds
    When the departure of a first engine is known from its answers and its entry is away for 5 seconds
    Then streams are moved off it, and moves are not held against their requests

  Scenario Outline: An engine that asks for <text> seconds of silence gets it for <seconds>
    Given a planned fleet with a drain bound of 2000 milliseconds
    When the first engine of a pipeline refuses a request with Retry-After <text>
    Then it begins no pipeline for <seconds> seconds and is used afterwards

    Examples:
      | text | seconds |
      | 0.75 | 0.75    |
      | 3    | 3       |
      | 1e9  | 600     |
      | inf  | 600     |
      | -2   | 0       |
      | nan  | 0       |
      | soon | 0       |

  Scenario: A refusal of a later engine closes that one, and the first one only as the first
    Given a planned fleet with a drain bound of 2000 milliseconds
    When the first engine refuses a request because of a later engine with Retry-After 3
    Then neither begins a pipeline and the later one is in none
    And the first one may run a later stage

  Scenario: A silent engine gets no probes, and a new run of it is not silent
    Given a planned fleet with a drain bound of 2000 milliseconds
    When the first engine of a pipeline refuses a request with Retry-After 5
    Then it is not probed and not ordered to load layers
    When a new run of it is listed
    Then it may be in a pipeline again

  Scenario: Leaves, silences, new runs and changes of the list in any order
    Given 20 random histories of leaves, silences, new runs and lists
    Then no pipeline uses a server that has left or begins at a silent one

  Scenario: Bookings leave a server that says that it leaves
    Given a system on the platform
    When a plain server says that it leaves while the list names it as ready
    Then it receives no booking more than 2 seconds later

  Scenario: A plain server that asks for silence gets it
    Given a system on the platform
    When a plain server refuses a booking with Retry-After 2
    Then it receives no booking from that node for 2 seconds, while others are served

  Scenario: Callers learn when a silent service takes requests again
    Given a system on the platform
    When all plain servers refuse bookings with Retry-After 2
    Then a further booking is refused at once with a retry time of 1 to 2 seconds
    And it is served after that time
