Feature: The order of loads
  The weight store allows few loads a second, one at a time at full speed.

  Scenario: Many waiters, one load
    Given a pool of 1 engine with 2 slots and 3 loads a second
    When "a" is wanted by 5 requests at "host-1"
    And "a" is wanted by 7 requests at "host-2"
    Then the next loads are "a"

  Scenario Outline: Which load goes first
    Given a pool of 1 engine with 4 slots and 3 loads a second
    And the order "<order>"
    When "a" is wanted by 1 requests at "host-1"
    And 0.1 seconds pass
    And "b" is wanted by <waiters> requests at "host-1"
    Then the next loads are "<loads>"

    Examples:
      | order        | waiters | loads |
      | longest_wait | 9       | a b   |
      | most_awaited | 9       | b a   |
      | most_awaited | 1       | a b   |

  Scenario: Loads keep the weight store's rate, also when they end sooner
    Given a pool of 1 engine with 40 slots and 3 loads a second
    When 30 adapters are wanted and each load ends after 0.01 seconds
    Then 10 seconds start from 29 to 31 loads

  Scenario Outline: Two sides of a cut together keep the rate
    Each side of a cut has its own order of loads, which cannot see the other's.
    Both load at the full rate, the weight store slows every load down, and
    requests stall on both sides. Each may use only the share of the daemons
    that it reaches.

    When <reachable> of 8 daemons are reached at 4 loads a second
    Then the share is <share> loads a second

    Examples:
      | reachable | share |
      | 8         | 4.0   |
      | 5         | 2.5   |
      | 3         | 1.5   |

  Scenario Outline: What is evicted
    Given a pool of 1 engine with 2 slots and 3 loads a second
    And the forecast "<forecast>"
    And the engine holds "a b"
    When "a" is used 6 times
    And 20 seconds pass
    And "b" is used 1 times
    And "c" is wanted by 1 requests at "host-1"
    Then the next load evicts "<victim>"

    Examples:
      | forecast      | victim |
      | last_use      | a      |
      | decayed_count | b      |
      | change_aware  | b      |

  Scenario: A pinned victim is left, and the next one taken
    A slot looks unused, and its owner has just given a grant on it. The owner
    declines; asking for the same slot again and again would stop all loads.

    Given a pool of 1 engine with 2 slots and 3 loads a second
    And the engine holds "a b"
    When "b" is used 3 times
    And "c" is wanted by 1 requests at "host-1"
    Then the next load evicts "a"
    When the owner declines it
    Then the next load evicts "b"

  Scenario: An owner that says its free slot is gone is not asked again at once
    The load order's view shows a free slot; the owner has filled it and its
    word is on the way. Found by a history of three daemons: the two sides of
    one daemon called each other until the stack was full.

    Given a pool of 1 engine with 2 slots and 3 loads a second
    And the engine holds "a"
    When "c" is wanted by 1 requests at "host-1"
    And the next load starts
    And the owner declines it
    Then no load starts

  Scenario: A failed load is tried again elsewhere, and its waiters stay
    Given a pool of 2 engines with 2 slots and 3 loads a second
    When "a" is wanted by 2 requests at "host-1"
    And the next load starts
    And it fails
    And 1 seconds pass
    Then the next load is "a" on another engine

  Scenario: A version that always fails does not block the others
    A broken upload fails each of its loads. Callers of all other adapters see
    their requests stall behind it, as it is always the one awaited longest.
    After some failures its waiters are refused and told when to come back.

    Given a pool of 3 engines with 2 slots and 3 loads a second
    When "a" is wanted by 2 requests at "host-1"
    And each of its loads fails until it is given up
    Then 3 loads were tried
    And "host-1" is told that "a" fails, to come back in 10 seconds
    When "a" is wanted by 1 requests at "host-1"
    Then it is refused as failing
    When "b" is wanted by 1 requests at "host-1"
    Then the next loads are "b"

  Scenario Outline: What cannot be loaded before its deadline is refused at once
    Given a pool of 1 engine with 40 slots and 4 loads a second
    When 19 adapters are wanted by callers with 60 seconds left
    And 0.01 seconds pass
    And "late" is wanted by 1 requests with <left> seconds left
    Then it is <verdict>

    Examples:
      | left | verdict  |
      | 4.9  | refused  |
      | 5.1  | accepted |

  Scenario: Loads slower than the rate count as long as they take
    The weight store is slow today. A forecast by its allowed rate accepts
    requests whose load comes long after their deadline.

    Given a pool of 1 engine with 60 slots and 4 loads a second
    When 9 adapters are wanted and each load ends after 1 seconds
    And 9 adapters are wanted by callers with 60 seconds left
    And 0.01 seconds pass
    And "late" is wanted by 1 requests with 5 seconds left
    Then it is refused

  Scenario: A load order that lost its owner's answer goes on
    The owner dies with the order of a load. Nothing more comes, and without a
    limit the adapter would never be loaded again while its callers wait.

    Given a pool of 2 engines with 2 slots and 3 loads a second
    When "a" is wanted by 1 requests at "host-1"
    And the next load starts
    And 6 seconds pass
    And "a" is wanted by 1 requests at "host-1"
    Then the next loads are "a"

  Scenario: What nobody repeats is forgotten
    Given a pool of 1 engine with 2 slots and 3 loads a second
    When "a" is wanted by 1 requests at "host-1"
    And 6 seconds pass
    Then no load starts

  Scenario: Unused loads fill free slots only
    One slot stays free for the next load, which then needs no eviction.

    Given a pool of 1 engine with 3 slots and 3 loads a second
    And the engine holds "a"
    When "b" is used 5 times
    And "c" is used 3 times
    Then the next loads are "b"

  Scenario: A slot is emptied while another load runs
    On separate processes each load waited for an eviction's round trips while
    the weight store stood idle: 2.5 loads a second of 3, and stalls without end.

    Given a pool of 2 engines with 2 slots and 3 loads a second
    And the engine holds "a b"
    And "draft-1" holds "c d"
    When "a b d" are used
    And "e" is wanted by 1 requests at "host-1"
    And the next load starts
    Then the slot of "a" is wanted on the other engine
    When the owner keeps it
    Then the slot of "b" is wanted on the other engine

  Scenario Outline: The cost of a decision does not grow with adapters or waiters
    Given a pool of 6 engines with 12 slots and 3 loads a second
    And full engines
    When <adapters> adapters were used and 200 are wanted
    Then one decision weighs 72 slots

    Examples:
      | adapters |
      | 3000     |
      | 28000    |
