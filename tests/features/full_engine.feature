Feature: Engines are full or slow, without a network
  Scenario: A full engine is avoided for a moment, and not planned around
    Given the engines of a site, planned and loaded
    When an engine refuses requests for 5 seconds and answers questions
    Then no plan is written
    And it gets requests again a moment after the last refusal

  Scenario: An engine that answers no question is planned around
    Given the engines of a site, planned and loaded
    When an engine of the caller's path falls silent
    Then a plan without it is written within a second

  Scenario: A node that reaches no engine does not plan around them
    Given the engines of a site, planned and loaded
    When 12 engines fall silent at once
    Then no plan is written

  Scenario: A stream that is only slow goes on
    Then a stream that was silent for 1.5 seconds is checked and not given up
    And one whose path has lost an engine is moved after 0.1 seconds
    And one whose engines are only full goes on
    And one whose events are overdue by 60 milliseconds has its engines asked
    And one that reads a long prompt has them asked after 0.13 seconds
    And one whose first event is late goes on while no later one was served
    And one that later ones from the same engine overtook is given up
    And one that was silent for longer than its caller waits is given up

  Scenario: An engine that answers late is left, and not planned around
    Given the engines of a site, planned and loaded
    When the first engine of a silent path answers each question after 0.1 seconds
    Then streams leave it
    And it is not held for dead

  Scenario: An engine that answers no question of a silent path is held for dead
    Given the engines of a site, planned and loaded
    When the first engine of a silent path answers no question
    Then streams leave it
    And it is held for dead
