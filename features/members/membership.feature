Feature: Failure detection by heartbeats with a few neighbours

  Scenario Outline: One bad link removes no member
    # A switch drops the messages of one daemon to another while all other links work.
    # Judged by heartbeats alone, the receiver would consider the sender dead and move
    # its roles, and two daemons would act on one endpoint.
    Given a pool of <daemons> daemons that agree
    When no message passes from "host-0" to its neighbour <direction>
    And 60 s pass
    Then every daemon considers every other alive
    And a bad link was recorded

    Examples:
      | daemons | direction                 |
      | 3       | in that direction         |
      | 8       | in that direction         |
      | 8       | in the opposite direction |
      | 8       | in both directions        |
      | 40      | in both directions        |

  Scenario Outline: All members detect a failed daemon within seconds
    # A daemon is killed or its host loses power. Callers of the other daemons wait for
    # it as an owner until all of them know.
    Given a pool of <daemons> daemons that agree
    When "host-1" <ends>
    Then within <limit> s every daemon considers only "host-1" dead
    When "host-1" is restarted
    Then within 5 s every daemon considers every other alive

    Examples:
      | daemons | ends        | limit |
      | 2       | is killed   | 4     |
      | 3       | is killed   | 4     |
      | 8       | is killed   | 4     |
      | 8       | loses power | 6     |
      | 70      | loses power | 6     |

  Scenario Outline: The failure of a whole rack removes no other member
    # A rack's switch fails. Many daemons lose several neighbours at the same time, and
    # some of the members they would use for indirect probes are down too.
    Given a pool of <daemons> daemons that agree
    When <lost> hosts lose power at the same time
    Then within 15 s every daemon considers only the lost hosts dead

    Examples:
      | daemons | lost |
      | 8       | 3    |
      | 9       | 5    |
      | 70      | 20   |

  Scenario: A paused process accuses no member and knows that its state is stale
    # A daemon is paused for 10 s and the others consider it dead. When it resumes, its
    # state is out of date. It must neither act on that state nor consider the others
    # dead because it received nothing from them.
    Given a pool of 8 daemons that agree
    When "host-3" is paused for 10 s
    And 8 s pass
    Then every daemon but "host-3" considers it dead
    When 2.4 s pass
    Then "host-3" recorded the pause and did not list itself while its state was stale
    And within 5 s every daemon considers every other alive
    And no daemon but "host-3" was ever recorded as dead

  Scenario: After a rolling restart every daemon is known by its latest incarnation
    Given a pool of 8 daemons that agree
    When each daemon is killed and restarted, 3 s apart
    Then within 6 s every daemon considers every other alive
    And every daemon knows the latest incarnation of every other

  Scenario Outline: The two sides of a partition rejoin
    # Two data centres are disconnected for a minute. Each side considers the other
    # dead, and no neighbours remain across the partition.
    Given a pool of <daemons> daemons that agree
    When <side> daemons are cut off from the others for 60 s
    Then within 20 s every daemon considers every other alive

    Examples:
      | daemons | side |
      | 9       | 3    |
      | 9       | 1    |
      | 40      | 20   |

  Scenario: An isolated daemon neither lists itself nor declares the others dead
    # A host's network card fails. Its daemon cannot distinguish this from the loss of
    # all others, and would claim every endpoint of the pool.
    Given a pool of 8 daemons that agree
    When "host-2" is cut off from all others
    And 20 s pass
    Then "host-2" knows that it is isolated and does not list itself as available
    And "host-2" recorded no daemon as dead
    And every daemon but "host-2" considers it dead

  Scenario: The traffic of a daemon does not grow with the pool
    Given pools of 16, 48 and 128 daemons at rest
    Then every daemon sends less than 700 bytes per second in each pool
    And no daemon has more than 6 neighbours

  Scenario Outline: A pool spans the deployment or one data centre
    Given a member list in "dc1" of a pool "<pool>"
    When hosts of "dc1" and "dc2" are listed
    Then it lists <known> other members

    Examples:
      | pool        | known |
      | deployment  | 3     |
      | data_centre | 1     |
