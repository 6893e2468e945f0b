Feature: An endpoint that falls silent for a second has not failed

  Scenario Outline: Nothing is concluded from a second of silence: <endpoint>
    Guards against streams broken off, owners and paths given up for a silence of 1.2 s.

    Given the whole path with 3 daemons
    When <endpoint> is silent for 1.2 s while drafts run and calls come
    Then no call that may run once runs twice, and none that was refused has run
    And all drafts that ran there are answered whole
    And no log tells of "path.cut, links.lost, owner.unreached, calls.blamed"

    Examples:
      | endpoint |
      | engine-1 |
      | desk-1   |

  Scenario Outline: How long a connection may stay unanswered: <end>
    Guards against connections ended by a second of silence, or kept for long without an other end.

    When a connection of <end> is looked at
    Then its probes and its bound on unanswered bytes end it after 2 to 3 s, whichever decides

    Examples:
      | end                                 |
      | a host to an endpoint               |
      | a caller to a host                  |
      | a host to its forwarder             |
      | a forwarder to the host that asked  |
