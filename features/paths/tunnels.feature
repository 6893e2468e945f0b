Feature: Tunnels to endpoints give the same guarantees as direct connections

  Scenario Outline: End of a tunnel: <end>
    Guards against responses that look complete because their forwarder died.

    When a forwarder passes on 5 bytes and then <end>
    Then the requesting host reads 5 bytes and then <then>

    Examples:
      | end                            | then        |
      | the endpoint ends normally     | an end      |
      | the forwarder is killed        | an error    |
      | bytes that are no message come | an error    |

  Scenario Outline: A request for a tunnel that is not granted: <forwarder>
    Guards against endpoints that are taken for lost, and calls that are not known to be unsent.

    When <forwarder> is asked for a tunnel
    Then none is opened, and the endpoint counts as <state>

    Examples:
      | forwarder                                  | state   |
      | a daemon that knows no tunnels             | unknown |
      | a daemon that has no links                 | unknown |
      | a daemon that does not know the endpoint   | unknown |
      | a daemon that carries too many             | unknown |
      | a daemon that drains                       | unknown |
      | a daemon with links that does not reach it | lost    |
      | a daemon that may have no links            | unknown |

  Scenario: A tunnel request whose stream is reset does no harm to the forwarder
    Guards against forwarders that stop, with all their calls, when a requesting host does.

    Given the whole path
    When a host that requests a tunnel resets its stream while a call waits
    Then the daemon keeps serving, and the call is answered with 200

  Scenario: A caller that disconnects ends its call at the endpoint, also through a tunnel
    Guards against endpoints that work for callers that have disconnected.

    Given the whole path with 3 daemons
    When a caller of a host without links disconnects in the middle of a draft
    Then no endpoint works on the call 0.5 s later

  Scenario: A host whose links are restored uses them
    Guards against tunnels that outlive the loss of links.

    Given the whole path with 3 daemons
    When a host loses its links for 3 s while calls come, and calls go on for 4 s
    Then from 2 s after the links are restored its calls use no tunnel

  Scenario: Hosts that have links open no tunnels
    Guards against the cost of tunnels in normal operation.

    Given the whole path with 3 daemons
    When calls come for 3 s
    Then no host has requested a tunnel

  Scenario: Hosts without links spread their tunnels over the hosts with links
    Guards against one host that forwards the connections of all others.

    Given a pool of 79 hosts of which 26, a data centre, have lost their links
    When each of the 26 opens 40 tunnels
    Then no host carries more than three times the mean over the hosts with links
    And each host requests tunnels of at most 24 others
