Feature: Loads in a daemon's core

  Scenario: A request that cannot be loaded in time is refused at once
    Past the knee requests for cold adapters queue for loads without end. A
    caller would wait its whole deadline for nothing; it is told at once when
    to come back, while requests for loaded adapters go on.

    Given a daemon core with 1 engine of 8 slots and 1 loads a second
    When requests for 6 cold adapters arrive with 60 seconds left
    And a request for another cold adapter arrives with 3 seconds left
    Then it is finished at once as not run for "overload", to come back later
    And a request for a loaded adapter is dispatched at once

  Scenario: Waiters of a version that always fails are refused
    Given a daemon core with 2 engines of 8 slots and 3 loads a second
    When a request arrives and each of its loads fails
    Then it is finished within 10 seconds as not run for "not_loaded"

  Scenario: Uses of loaded adapters reach the forecast
    The load order heard only of requests that missed: a hot adapter that was
    loaded once looked unused ever after and was evicted first.

    Given a daemon core with 1 engine of 2 slots and 3 loads a second
    When adapter "a" is loaded and used 9 times, and adapter "b" once
    And a request for adapter "c" arrives
    Then the engine is told to evict "b"

  Scenario Outline: Histories of several daemons hold with loads placed anew
    Given a history of <daemons> daemons with seed <seed> in which the load order's daemon is killed
    Then no promise is broken and requests were answered

    Examples:
      | daemons | seed |
      | 3       | 1    |
      | 3       | 2    |
      | 5       | 3    |

  Scenario: An adapter that only a leaving engine holds is loaded elsewhere
    An engine is listed as leaving. Its adapters get no new work there, but the
    load order still counts them as held and never loads them: callers stall
    until their deadline.

    Given a daemon core with 2 engines of 8 slots and 3 loads a second
    When adapter "a" is loaded and used 2 times, and adapter "b" once
    And the engine that holds "a" is listed as leaving
    And a request for adapter "a" arrives
    Then that request is dispatched to another engine

  Scenario: What ended is no longer counted as running
    A daemon adds what it sent to the owner's last word. The owner tells only
    larger changes: requests that came and went in between would add up, and an
    idle engine would look full.

    Given a daemon core with 1 engine of 8 slots and 3 loads a second
    When adapter "a" is loaded and used 1 times, and adapter "b" once
    And 5 requests for "a" are dispatched and end at once
    Then the engine is seen to run 0 requests
