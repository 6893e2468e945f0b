Feature: Who lives, by heartbeats with a few neighbours

  Scenario Outline: One bad link removes nobody
    # A switch drops what one daemon sends to another, while all other links
    # work. With heartbeats judged alone the receiver would take the sender for
    # dead, move its roles, and two daemons would act on one endpoint.
    Given a pool of <daemons> daemons that agree
    When nothing passes from "host-0" to its neighbour <direction>
    And 60 s pass
    Then every daemon sees every other as living
    And a bad link was recorded

    Examples:
      | daemons | direction      |
      | 3       | that way       |
      | 8       | that way       |
      | 8       | the other way  |
      | 8       | in either way  |
      | 40      | in either way  |

  Scenario Outline: A daemon that ended is dead to all within seconds
    # A host is killed or loses its power. Callers of the others wait for it as
    # an owner until all of them know.
    Given a pool of <daemons> daemons that agree
    When "host-1" <ends>
    Then within <limit> s every daemon sees just "host-1" as dead
    When "host-1" is started anew
    Then within 5 s every daemon sees every other as living

    Examples:
      | daemons | ends                     | limit |
      | 2       | is killed                | 4     |
      | 3       | is killed                | 4     |
      | 8       | is killed                | 4     |
      | 8       | loses its power          | 6     |
      | 70      | loses its power          | 6     |

  Scenario Outline: A rack lost at once takes nobody else along
    # A rack's switch fails. Many daemons lose several neighbours at once, and
    # some of those they ask about it are gone as well.
    Given a pool of <daemons> daemons that agree
    When <lost> hosts lose their power at once
    Then within 15 s every daemon sees just the lost as dead

    Examples:
      | daemons | lost |
      | 8       | 3    |
      | 9       | 5    |
      | 70      | 20   |

  Scenario: A paused process blames nobody and knows that it is unsure
    # A daemon is stopped for 10 s. The others take it for dead. It wakes with
    # old knowledge: it must not act on it, nor take the others for dead because
    # it did not hear them.
    Given a pool of 8 daemons that agree
    When "host-3" is paused for 10 s
    And 8 s pass
    Then every daemon but "host-3" sees it as dead
    When 2.4 s pass
    Then "host-3" recorded the pause and did not name itself while unsure
    And within 5 s every daemon sees every other as living
    And nobody but "host-3" was ever recorded as dead

  Scenario: A rolling restart leaves every daemon known by its newest start
    Given a pool of 8 daemons that agree
    When each daemon is killed and started anew, 3 s apart
    Then within 6 s every daemon sees every other as living
    And every daemon knows the newest start of every other

  Scenario Outline: The two sides of a partition find each other again
    # Two data centres lose each other for a minute. Each side takes the other
    # for dead, and no neighbour is left across the gap.
    Given a pool of <daemons> daemons that agree
    When <side> daemons are cut from the others for 60 s
    Then within 20 s every daemon sees every other as living

    Examples:
      | daemons | side |
      | 9       | 3    |
      | 9       | 1    |
      | 40      | 20   |

  Scenario: A daemon that hears nobody names neither itself nor the others as dead
    # One host's network card fails. It cannot tell this from the loss of all
    # others, and would claim every endpoint of the pool.
    Given a pool of 8 daemons that agree
    When "host-2" is cut from all others
    And 20 s pass
    Then "host-2" knows that it is isolated, and is not among those it names
    And "host-2" recorded nobody as dead
    And every daemon but "host-2" sees it as dead

  Scenario: What a daemon sends does not grow with the pool
    Given pools of 16, 48 and 128 daemons at rest
    Then the most that a daemon sends is under 700 bytes a second in each
    And no daemon has more than 6 neighbours

  Scenario Outline: The pool is the deployment or one data centre
    Given a member list that stands in "dc1" of a pool "<pool>"
    When hosts of "dc1" and "dc2" are listed
    Then it knows <known> others

    Examples:
      | pool        | known |
      | deployment  | 3     |
      | data_centre | 1     |
