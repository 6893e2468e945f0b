Feature: Tunnels to endpoints keep what own connections keep

  Scenario Outline: What a forwarder's end means: <end>
    Guards against answers that look whole as their forwarder died.

    When a forwarder hands on 5 bytes and then <end>
    Then the host that asked gets 5 bytes and then <then>

    Examples:
      | end                            | then        |
      | the endpoint ends in order     | an end      |
      | the forwarder is killed        | an error    |
      | bytes that are no message come | an error    |

  Scenario Outline: A question that is not answered with a tunnel: <forwarder>
    Guards against endpoints taken for lost, and calls not known to be unsent.

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

  Scenario: A question for a tunnel whose stream is reset costs the forwarder nothing
    Guards against forwarders that end, with all their calls, as an asking host does.

    Given the whole path
    When a host that asks for a tunnel resets its stream while a call waits
    Then the daemon serves on, and the call is answered with 200

  Scenario: A caller that leaves ends its call at the endpoint, through a tunnel too
    Guards against endpoints that work on for callers who have left.

    Given the whole path with 3 daemons
    When a caller of a host without links leaves in the middle of a draft
    Then no endpoint holds a connection for it 0.5 s later

  Scenario: A host whose links are back uses them
    Guards against tunnels that outlive the cut.

    Given the whole path with 3 daemons
    When a host loses its links for 3 s while calls come, and calls go on for 4 s
    Then from 2 s after the links are back its calls go over them alone

  Scenario: Hosts that have links open no tunnels
    Guards against a cost while all is well.

    Given the whole path with 3 daemons
    When calls come for 3 s
    Then no host has asked another for a tunnel

  Scenario: The hosts without links share the ones that have them
    Guards against one host that carries the connections of all others.

    Given a pool of 79 hosts of which 26, a data centre, have lost their links
    When each of those opens 40 tunnels
    Then no host carries more than three times the mean of those that have links
    And each host asks 24 others at most
