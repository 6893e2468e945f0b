Feature: A change that a peer did not hear is repaired by the next refresh

  Scenario Outline: The word of <change> is lost, <endpoints> endpoints
    An owner tells its peers that an adapter was loaded or evicted, and the connection
    to one of them drops just that message. Nothing else changes on the endpoint. That
    peer goes on sending callers to where the adapter was, or waits for a load of what
    is loaded: the refresh names no adapters, and nobody asks for them. What was evicted
    takes long to load again, so that no later change tells the peer.

    Given daemons that know what <endpoints> endpoints hold
    When an adapter's <change> is told and one peer does not hear it
    Then that peer sees the endpoint otherwise than its owner
    And it sees it as its owner does after one refresh

    Examples:
      | change   | endpoints |
      | load     | ignoring  |
      | load     | checking  |
      | eviction | ignoring  |
      | eviction | checking  |

  Scenario: Nothing is asked while nothing was lost
    When nothing happens on the endpoints for a minute
    Then no peer asks an owner and no owner tells adapters
