Feature: Requests that crash the servers that run them

  # Guards against a request that is sent to server after server, as nothing links the ends
  # of servers to the request that they ran.
  Scenario Outline: A <kind> that has crashed three servers reaches no more than three others
    Given a system of 9 nodes on the platform, with servers that a <kind> crashes
    When that request comes 4 times a second for 14 seconds beside sound ones
    Then no more than 3 of its sends were later than 3 seconds after the third crash
    And from then on it is refused at once as not run, without a time to retry
    And each sound request sent later than 6 seconds after the last crash is answered

    Examples:
      | kind                     |
      | lookup                   |
      | lookup without a key     |
      | booking                  |
      | stream                   |
      | stream with prompt parts |
