Feature: Callers that read their answers slowly
  # Guards against taking the silence of a caller for one of its engine, and cutting off
  # the write of an event.
  Scenario: A caller that stops reading for a while receives the whole answer
    Given a fleet of engines, planned and loaded
    When a caller stops reading for 3 seconds inside an event
    Then it receives each event once, whole and in order, from one run
