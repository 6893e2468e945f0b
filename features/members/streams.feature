Feature: Streams between daemons

  Scenario: A reflected handshake is rejected
    # A process without the secret listens on a peer's address. It forwards the daemon's
    # own handshake to the daemon's own listener and returns the responses, so that the
    # daemon would accept itself as the peer.
    Given daemons "host-0"
    When "host-0" connects to "host-1" at an address that leads back to "host-0"
    Then no stream to "host-1" is ever established

  Scenario: A reassigned address is not accepted for its previous host
    # The address of a replaced host is reassigned to another host of the pool while the
    # host list is out of date. Orders and grants for the old host would reach the new one.
    Given daemons "host-0,host-2"
    When "host-0" connects to "host-1" at the address of "host-2"
    Then no stream to "host-1" is ever established

  Scenario: A daemon with another secret is rejected
    Given daemons "host-0"
    And a daemon "host-1" with another secret
    When "host-0" connects to "host-1" at the address of "host-1"
    Then no stream to "host-1" is ever established

  Scenario: A silent stream is replaced before the peer is considered unreachable
    # A firewall drops the state of a connection: data written to it is lost without an
    # error, while new connections work. The peer would be considered dead, or the
    # stream would lose messages for minutes unnoticed.
    Given daemons "host-0,host-1"
    When "host-0" sends to "host-1" through a forwarder
    And the forwarder silently drops its open connections
    Then "host-1" receives messages from "host-0" again on a new stream
    And "host-0" never considered "host-1" unreachable

  Scenario: A stream from an older incarnation of a host is ignored
    # A host is restarted while its old process is paused. When the old process
    # resumes, it would keep sending under the name of the new one.
    Given daemons "host-0,host-1"
    When "host-0" sends to "host-1", then a newer incarnation of "host-0" does too
    And the older incarnation of "host-0" sends again
    Then "host-1" receives nothing more from the older incarnation

  Scenario Outline: An invalid message closes its stream and affects no other
    Given daemons "host-0,host-1"
    When a host that knows the secret sends <bytes> to "host-1"
    Then "host-1" closes that stream
    And "host-1" still receives messages from "host-0"

    Examples:
      | bytes                         |
      | a tag that is not a string    |
      | a tag with too few fields     |
      | bytes that are not msgpack    |
      | a message over the size limit |

  Scenario Outline: Additions of a later version are ignored and the stream stays open: <bytes>
    Otherwise hosts could not communicate while a pool is upgraded host by host.

    Given daemons "host-0,host-1"
    When a host that knows the secret sends <bytes> to "host-1", and then a message
    Then "host-1" receives that message on the same stream
    And "host-1" still receives messages from "host-0"

    Examples:
      | bytes                      |
      | an unknown tag             |
      | a tag with too many fields |

  Scenario: A stream is opened by a message and closed when idle
    Given daemons "host-0,host-1" whose idle streams close after 0.2 s
    When "host-0" sends to "host-1" once
    Then "host-1" receives it
    And the stream is closed again
    When "host-0" sends to "host-1" once
    Then "host-1" receives it
    And "host-0" never considered "host-1" unreachable
