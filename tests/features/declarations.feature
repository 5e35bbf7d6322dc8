Feature: Declarations of templates, client accounts and backend servers

  Scenario: An account gets its limits from its template and its parameters
    Given the example declarations
    Then they have no problems
    And account "desk" has requests_per_second 40 and concurrency 8
    And account "field" has requests_per_second 20 and concurrency 8

  Scenario: Either of two keys is valid while a key is rotated
    Given the example declarations
    When account "desk" gets a second key
    Then both keys find account "desk"
    When account "desk" drops its first key
    Then only the second key finds account "desk"

  Scenario Outline: A problem names the file, section, key, value and allowed values
    Given the example declarations
    When <section> is changed by <key> = <value>
    Then the problem contains "<problem>"

    Examples:
      | section            | key                      | value    | problem                                                           |
      | [account desk]     | rate                     | 900      | rate = '900': is out of bounds; allowed: decimal from 1 to 500 requests/s |
      | [account desk]     | rate                     | fast     | is no decimal                                                     |
      | [account desk]     | rte                      | 5        | nearest: rate                                                     |
      | [account desk]     | tier                     | lead     | is not a choice; allowed: one of gold, silver                     |
      | [account desk]     | label                    | A B      | does not fit the pattern; allowed: text that fits [a-z]+          |
      | [account desk]     | streams                  | 2.5      | is no integer                                                     |
      | [account desk]     | template                 | countre  | names no template; allowed: counter, phone (nearest: counter)     |
      | [account desk]     | key_hash                 | abc      | (hidden, 3 characters)                                            |
      | [account field]    | key_hash                 | KEY      | is also a key of [account desk]                                   |
      | [template counter] | concurrency              | {strems} | names no parameter of this template; allowed: rate, streams, tier, label (nearest: streams) |
      | [template counter] | burst                    | 0        | burst = '0': is too low                                           |
      | [template counter] | brust                    | 5        | nearest: burst                                                    |
      | [template counter] | models                   | lift-9   | models = lift-9: is not declared; allowed: stairs                 |
      | [template counter] | parameter.rate.default   | 501      | parameter.rate.default = '501': is out of bounds                  |
      | [template counter] | parameter.rate.minimum   | 501      | is over the maximum                                               |
      | [template counter] | parameter.label.pattern  | [        | is no regular expression                                          |
      | [template counter] | parameter.tier.type      | chioce   | parameter.tier.type = 'chioce': is not a choice                   |
      | [model stairs]     | layers                   | 0        | layers = '0': is too low; allowed: a whole number from 1          |
      | [backend e9]       | address                  | here     | is not host:port                                                  |
      | [modle stairs]     | layers                   | 3        | nearest: model                                                    |
      | [model]            | layers                   | 3        | has no valid name                                                 |

  Scenario: All problems are reported at once
    Given the example declarations
    When several sections are invalid
    Then each of them has its problem

  Scenario: A section in use cannot be retired
    Given the example declarations
    Then retiring "template counter" names its users "[account desk], [account field]"
    And retiring "service bookings" names its users "[account van]"
    And retiring "model stairs" names its users "[account desk], [account field]"
    And retiring "backend e9" is refused until it is drained
    And retiring "account desk" is allowed

  Scenario: All example declarations are valid
    Then each folder of examples has no problems
