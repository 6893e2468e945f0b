Feature: The core without I/O
  The decisions of one daemon, driven by events at given times.

  Scenario: A request waits for a load, gets a grant and is dispatched
    Given a daemon core that owns engine "draft-0" with 2 slots
    When a request for "refill@1" arrives
    Then the engine is ordered to load "refill@1"
    When the engine finishes the load of "refill@1"
    Then the request is dispatched to "draft-0"
    When the attempt completes
    Then the request is finished as "Complete"

  Scenario: An adapter that serves a request is never evicted
    A grant pins the slot: while the only slot serves one adapter, a request for
    another adapter waits instead of evicting it.

    Given a daemon core that owns engine "draft-0" with 1 slots
    When a request for "refill@1" arrives
    And the engine finishes the load of "refill@1"
    And a request for "fitting@1" arrives
    And 3 seconds pass
    Then no eviction was ordered
    When the attempt completes
    And 3 seconds pass
    Then the engine is ordered to evict "refill@1"
