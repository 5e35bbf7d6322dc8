Feature: The program is one file
  The program starts no process and writes no file.

  Scenario: Two builds of the same source are equal
    Given the built program
    When it is built again
    Then both files contain the same bytes

  Scenario Outline: A command starts no process and changes no file
    Given the built program
    When it runs "<command>" under audit
    Then it exits with <code> and prints "<text>"
    And the audit reported nothing

    Examples:
      | command                        | code | text                      |
      | version                        | 0    | 0.                        |
      | --help                         | 0    | Subcommands               |
      | settings                       | 0    | lease_margin_seconds      |
      | check --settings node.ini      | 0    | no problems               |
      | check --settings bad.ini       | 2    | is no section             |
      | status --node 127.0.0.1:1      | 3    | cannot connect            |
      | stauts                         | 2    | Invalid command           |

  Scenario: The audit reports processes, files and foreign modules
    When a program that starts a process and writes a file runs under audit
    Then the audit reported these
      | event            |
      | subprocess.Popen |
      | open             |
      | child process    |
      | foreign module   |

  Scenario: A node serves and shuts down
    Given the built program
    When it serves under audit until SIGTERM
    Then it exits with 0 and prints "has stopped"
    And the audit reported nothing
    And its folder is empty

  Scenario: A node reports that its address is in use
    Given the built program
    And its address for operators is in use
    When it runs "serve node.ini" under audit
    Then it exits with 1 and prints "Address already in use"
    And the audit reported nothing
