Feature: An endpoint that is silent for a second has not failed

  Scenario Outline: A second of silence has no consequences: <endpoint>
    Guards against streams, ownerships and paths that are given up after 1.2 s of silence.

    Given the whole path with 3 daemons
    When <endpoint> is silent for 1.2 s while drafts run and calls come
    Then no non-idempotent call runs twice, and no refused call has run
    And all drafts that ran there get complete responses
    And no log holds "path.cut, links.lost, owner.unreached, calls.blamed"

    Examples:
      | endpoint |
      | engine-1 |
      | desk-1   |

  Scenario Outline: A failed connection is no cut path if the endpoint was silent: <endpoints>, <silent_s> s
    Guards against paths that count as cut because other hosts connect later, when the endpoint is back.

    Given the whole path with 3 daemons
    When "<endpoints>" are silent for <silent_s> s while hosts without traffic connect to them
    Then a host has asked another one to connect
    And no log holds "path.cut, links.lost"

    Examples:
      | endpoints      | silent_s |
      | desk-1, desk-2 | 0.66     |
      | desk-1, desk-2 | 0.75     |
      | desk-1, desk-2 | 0.85     |
      | engine-1       | 0.66     |
      | engine-1       | 0.75     |
      | engine-1       | 0.8      |
      | engine-1       | 0.85     |

  Scenario Outline: How long a connection may stay unanswered: <end>
    Guards against connections closed after a second of silence, or kept long after the peer is gone.

    When the socket options of a connection from <end> are read
    Then its keepalive probes and its timeout for unacknowledged bytes each end it after 2 to 3 s

    Examples:
      | end                                 |
      | a host to an endpoint               |
      | a caller to a host                  |
      | a host to its forwarder             |
      | a forwarder to the requesting host  |
