Feature: All settings are validated at start

  Scenario: All errors are reported at once
    Given valid settings
    And the settings' key "listen.callers" is "127.0.0.1"
    And the settings' key "timing.tick_seconds" is "nine"
    And the settings' key "trace.record" is "disk"
    When the settings are read
    Then these problems are found
      | section | key          | value       | allowed                           |
      | listen  | callers      | '127.0.0.1' | host:port, such as 127.0.0.1:8080 |
      | timing  | tick_seconds | 'nine'      | a number from 0.001 to 1          |
      | trace   | record       | 'disk'      | one of off, memory                |
    And each problem's line names its file, section, key, value and what is allowed

  Scenario: Unknown sections and keys are reported with the nearest name
    Given valid settings
    And the settings' key "node.nmae" is "n2"
    And the settings' key "logg.level" is "info"
    When the settings are read
    Then these problems are found
      | section | key  | value | allowed                                                                          |
      | logg    |      |       | node, listen, platform, security, timing, calls, limits, trace, log, seeds (nearest: log) |
      | node    | nmae |       | name, region, failure_domain (nearest: name)                                     |

  Scenario: Values out of bounds and out of order
    Given valid settings
    And the settings' key "listen.connections" is "0"
    And the settings' key "timing.dead_seconds" is "1.5"
    And the settings' key "timing.stall_seconds" is "nan"
    And the settings' key "security.peer_key" is "short"
    When the settings are read
    Then these problems are found
      | section  | key           | value                  | allowed                              |
      | listen   | connections   | '0'                    | a whole number from 1 to 100000      |
      | security | peer_key      | (hidden, 5 characters) | 16 to 256 characters without spaces  |
      | timing   | stall_seconds | 'nan'                  | a number from 0.01 to 60             |

  Scenario: Times that contradict each other
    Given valid settings
    And the settings' key "timing.dead_seconds" is "1.5"
    When the settings are read
    Then these problems are found
      | section | key          | value | allowed                          |
      | timing  | dead_seconds | 1.5   | a number over suspect_seconds (2) |

  Scenario Outline: Text that is not valid INI
    When the settings text "<text>" is read
    Then a problem says "<what>"

    Examples:
      | text                                | what                    |
      | name = n1                           | before any section      |
      | [node]\nname = n1\nname = n2        | stands twice            |
      | [node]\n[node]                      | stands twice            |
      | [node]\nname = n1\nwords alone      | neither a section nor   |
      | [DEFAULT]\nname = n1                | is no section           |

  Scenario: A file that cannot be read
    When settings are read from a missing file
    Then a problem says "cannot be read"

  Scenario: Secrets are not shown
    Given valid settings
    When the settings are read
    Then their text shows neither the peers' key nor the hash of the operators' key

  Scenario: Any text gives settings or problems, and never shows a secret
    Then any INI text gives settings or problems

  Scenario: The reference page is current
    Then docs/settings.md equals what "settings" prints
