Feature: Clients that keep to no limit end or hang no node
  # Guards against a node that runs out of memory or descriptors, or hangs, because
  # nothing bounds what all clients together make it hold. The bounds are half of the
  # memory and all of the descriptors that the node's VM is said to have.
  Scenario Outline: A node outlives many clients with <kind>
    Given a node on a VM with 200 MB and 400 descriptors
    When clients with <kind> come to each listener of the node at once
    Then the node has not been started again and holds less than 100 MB
    And the node has had fewer than 400 descriptors open
    And an ordinary request is answered at each listener of the node

    Examples:
      | kind                                    |
      | chunked bodies in large chunks          |
      | chunked bodies in one-byte chunks       |
      | chunked bodies that stop short          |
      | announced bodies far over the limit     |
      | sent bodies far over the limit          |
      | pipelined requests and unread responses |
      | half-sent headers                       |
      | slow reading of long streams            |
      | binary garbage                          |

  # Guards against a bound that refuses clients within their limits in calm.
  Scenario: Long bodies that are sent slowly are served
    Given a node on a VM with 200 MB and 400 descriptors
    When clients send bodies of 4194304 bytes slowly, one after another has begun
    Then each of them is served
    And the node has not been started again and holds less than 100 MB
