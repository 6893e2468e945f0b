Feature: Hosts without links to the endpoints serve their callers by hosts that have them

  Scenario Outline: First tries at cut hosts are served: <cut> of 3 hosts, connections <how>
    Guards against callers of hosts without links being served far worse than others.

    Given the whole path with 3 daemons
    When <cut> hosts lose their links to all endpoints, whose connections <how>, and calls come
    Then from 3 s on first tries there are served two thirds as often as at the others at least
    And no call that may run once runs twice, and none that was refused has run

    Examples:
      | cut | how     |
      | 1   | hang    |
      | 2   | hang    |
      | 2   | reset   |
      | 2   | live on |

  Scenario: The engines of an owner without links are ordered by another host
    Guards against engines that get no orders while only their owner cannot reach them.

    Given the whole path with 3 daemons
    When the owners of all engines lose their links, and 3 s later drafts need other adapters
    Then the drafts are answered at the host that has its links

  Scenario: Calls are not blamed for endpoints that answer other hosts
    Guards against calls refused on all hosts, as endpoints were taken for lost with them.

    Given the whole path with 3 daemons
    When a host loses its links while drafts run, and the same drafts come again and again
    Then no host blames a call for an endpoint's loss
