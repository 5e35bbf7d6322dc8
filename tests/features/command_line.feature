Feature: The command line

  Scenario: An unknown command is reported with the available commands
    When "jujubepass stauts" runs
    Then it ends with code 2
    And it shows "Invalid command 'stauts'"
    And it shows "status"

  Scenario: No command
    When "jujubepass" runs
    Then it ends with code 2
    And it shows "A command is required"

  Scenario: Every command's help has an example and the exit codes
    Then each command's help names an example of that command and all exit codes

  Scenario: Every example in a help text is a valid command line
    Then each example is parsed as a valid command

  Scenario Outline: Bad input is reported before any request to a node
    Given declarations
    When "jujubepass <arguments>" runs
    Then it ends with code 2
    And it shows "<text>"

    Examples:
      | arguments                                     | text                       |
      | status                                        | --node                     |
      | status --node nowhere                         | is not host:port           |
      | status --node 127.0.0.1:1 --key-file absent   | --key-file absent          |
      | plan absent.ini --node 127.0.0.1:1            | cannot be read             |
      | plan broken.ini --node 127.0.0.1:1            | neither a section nor      |
      | apply accounts.ini --node 127.0.0.1:1         | --base                     |
      | check broken.ini                              | neither a section nor      |
      | check                                         | nothing to check           |
      | serve absent.ini                              | cannot be read             |

  Scenario: Without a key no request is sent to a node
    Given no operator key
    When "jujubepass status --node 127.0.0.1:1" runs
    Then it ends with code 2
    And it shows "JUJUBEPASS_OPERATOR_KEY"

  Scenario: A node that does not answer
    When "jujubepass status --node 127.0.0.1:1" runs
    Then it ends with code 3
    And it shows "cannot connect"

  Scenario: Status as text and as JSON
    Given a node with configuration 41 on nodes at 41 and 40
    When "jujubepass status --node NODE" runs
    Then it ends with code 0
    And it shows "configuration_number: 40"
    When "jujubepass status --node NODE --json" runs
    Then it ends with code 0
    And it prints JSON with "nodes"

  Scenario: A wrong key is refused
    Given a node with configuration 41 on nodes at 41 and 41
    And its answer to "GET /operator/status" is 401 "unknown_operator"
    When "jujubepass status --node NODE" runs
    Then it ends with code 1
    And it shows "unknown_operator"

  Scenario: A plan shows the lines that differ and its base
    Given declarations
    And a node with configuration 41 on nodes at 41 and 41
    When "jujubepass plan accounts.ini --node NODE" runs
    Then it ends with code 0
    And it shows "-concurrency = 8"
    And it shows "+concurrency = 16"
    And it shows "shop: concurrency 8 -> 16"
    And it shows "base: 41"
    And it shows "digest: "

  Scenario: A change that is in force everywhere
    Given declarations
    And a node with configuration 42 on nodes at 42 and 42
    When "jujubepass apply accounts.ini --node NODE --base 41 --author ana" runs
    Then it ends with code 0
    And it shows "in force on 2 of 2 nodes"
    And the node received the sections with base 41

  Scenario: A change that is not in force everywhere in time
    Given declarations
    And a node with configuration 42 on nodes at 42 and 41
    When "jujubepass apply accounts.ini --node NODE --base 41 --author ana --wait-seconds 0.5" runs
    Then it ends with code 4
    And it shows "in force on 1 of 2 nodes"

  Scenario: A change is not reported in force on a node with an unknown number
    Given declarations
    And a node with configuration 42 on nodes at 42 and 42
    And it lists a node whose configuration is unknown
    When "jujubepass apply accounts.ini --node NODE --base 41 --author ana --wait-seconds 0.5" runs
    Then it ends with code 4
    And it shows "number unknown to the queried node: 1 nodes"

  Scenario Outline: A node with an unknown number counts by the number it confirmed
    Given declarations
    And a node with configuration 42 on nodes at 42 and 42
    And it lists a node whose configuration is unknown, which confirmed <confirmed>
    When "jujubepass apply accounts.ini --node NODE --base 41 --author ana --wait-seconds 0.5" runs
    Then it ends with code <code>
    And it shows "in force on <reached> of 3 nodes"

    Examples:
      | confirmed | code | reached |
      | 42        | 0    | 3       |
      | 41        | 4    | 2       |

  Scenario: Files whose digest differs from the planned one are refused
    Given declarations
    And a node with configuration 41 on nodes at 41 and 41
    When "jujubepass apply accounts.ini --node NODE --base 41 --digest 00 --author ana" runs
    Then it ends with code 2
    And it shows "plan again"
    And the node received no change

  Scenario: Names that are not in force are reported with the nearest name
    Given a node with configuration 41 on nodes at 41 and 41
    When "jujubepass retire template odl --node NODE --author ana" runs
    Then it ends with code 2
    And it shows "nearest: template old"
    When "jujubepass drain engin-7 --node NODE --author ana" runs
    Then it ends with code 2
    And it shows "nearest: engine-7"
    And the node received no change

  Scenario: A change in conflict with another
    Given a node with configuration 42 on nodes at 42 and 42
    And its answer to "POST /operator/changes" is 409 "conflict"
    When "jujubepass drain engine-7 --node NODE --base 41 --author ana" runs
    Then it ends with code 1
    And it shows "conflict"

  Scenario: A change whose answer is lost is reported with the id to retry it
    Given a node with configuration 42 on nodes at 42 and 42
    And it closes the connection on "POST /operator/changes"
    When "jujubepass retire template old --node NODE --base 41 --author ana --change-id c7" runs
    Then it ends with code 3
    And it shows "--change-id c7"
