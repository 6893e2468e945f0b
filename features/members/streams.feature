Feature: Streams between daemons

  Scenario: A proof sent back to its maker is refused
    # Something without the secret answers on a peer's address. It passes the
    # daemon's own greeting back to the daemon's own listener, and what comes
    # from there back again: the daemon would take itself for the peer.
    Given daemons "host-0"
    When "host-0" dials "host-1" at an address that leads back to "host-0"
    Then no stream to "host-1" ever stands

  Scenario: An address that went to another host does not answer for the old one
    # A replaced host's address is given to another host of the pool, and the
    # list lags. Orders and grants meant for the old one would go to the new one.
    Given daemons "host-0,host-2"
    When "host-0" dials "host-1" at the address of "host-2"
    Then no stream to "host-1" ever stands

  Scenario: A daemon with another secret is refused
    Given daemons "host-0"
    And a daemon "host-1" with another secret
    When "host-0" dials "host-1" at the address of "host-1"
    Then no stream to "host-1" ever stands

  Scenario: A stream that went silent is replaced before the peer is blamed
    # A firewall forgets a connection: what is written into it vanishes, and no
    # error comes back. New connections work. The peer would be taken for dead,
    # or, with nobody looking, the stream would swallow messages for minutes.
    Given daemons "host-0,host-1"
    When "host-0" sends to "host-1" through a forwarder
    And the forwarder loses track of the open connections
    Then "host-1" hears "host-0" again by a new stream
    And "host-0" never took "host-1" for unreachable

  Scenario: A stream of a host's older start is no longer heard
    # A host is started anew while its old process is stopped, not ended. Woken,
    # the old one would go on speaking in the new one's name.
    Given daemons "host-0,host-1"
    When "host-0" sends to "host-1", then a newer start of "host-0" does too
    And the older start of "host-0" sends again
    Then "host-1" hears no more from the older start

  Scenario Outline: What is no message of ours ends the stream and harms no other
    Given daemons "host-0,host-1"
    When a host that knows the secret sends <bytes> to "host-1"
    Then "host-1" closes that stream
    And "host-1" still hears "host-0"

    Examples:
      | bytes                         |
      | a tag that is no name         |
      | a tag with too few fields     |
      | bytes that are no msgpack     |
      | a message over the size limit |

  Scenario Outline: What a later version adds is passed over, and the stream goes on: <bytes>
    Guards against hosts that do not hear each other while a pool is upgraded host by host.

    Given daemons "host-0,host-1"
    When a host that knows the secret sends <bytes> to "host-1", and then a message
    Then "host-1" hears that message on the same stream
    And "host-1" still hears "host-0"

    Examples:
      | bytes                      |
      | an unknown tag             |
      | a tag with too many fields |

  Scenario: Streams are few: opened by a message, closed when idle
    Given daemons "host-0,host-1" whose streams are idle after 0.2 s
    When "host-0" sends to "host-1" once
    Then "host-1" hears it
    And the stream is closed again
    When "host-0" sends to "host-1" once
    Then "host-1" hears it
    And "host-0" never took "host-1" for unreachable
