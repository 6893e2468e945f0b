Feature: Hosts without links to the endpoints serve their callers through other hosts

  Scenario Outline: First attempts at cut-off hosts are served: <cut> of 3 hosts, connections <how>
    Guards against far worse service for callers of hosts without links.

    Given the whole path with 3 daemons
    When <cut> hosts lose their links to all endpoints, whose connections <how>, and calls come
    Then from 3 s on the share of first attempts served there is at least two thirds of that at the others
    And no non-idempotent call runs twice, and no refused call has run

    Examples:
      | cut | how     |
      | 1   | hang    |
      | 2   | hang    |
      | 2   | reset   |
      | 2   | live on |

  Scenario: Another host takes over the engines of an owner without links
    Guards against engines without orders because only their owner cannot reach them.

    Given the whole path with 3 daemons
    When the owners of all engines lose their links, and 3 s later drafts need other adapters
    Then the host that still has links answers the drafts

  Scenario: Calls are not blamed for endpoints that other hosts still reach
    Guards against calls that all hosts refuse because endpoints seem to have crashed under them.

    Given the whole path with 3 daemons
    When a host loses its links while drafts run, and the same drafts are sent again and again
    Then no host blames a call for an endpoint's loss
