Feature: Requests that crash endpoints
  At most two endpoints are lost to a request, and nobody else is refused.

  Scenario Outline: The caller of a crashing request sends it again by other hosts
    A user sees engine after engine restart, each with all that it ran. One
    request crashes the engine that runs it; its caller gets an error, sends the
    same request by the next host, and that host sends it to the next engine.
    Without blame this goes on for ever. Without quarantine the innocent ones
    that were retried together are lost together again, and refused.

    When a request that crashes engines runs beside 40 others with "<blame>"
    Then <lost> endpoints were lost
    And <refused> innocent requests were refused

    Examples:
      | blame                      | lost         | refused  |
      | no blame                   | more than 5  | 0        |
      | two losses, no quarantine  | 2            | some     |
      | two losses, quarantine     | 2            | 0        |

  Scenario Outline: An engine restarts with forty innocent requests, <times> times
    A user whose request did nothing wrong gets "blamed". The engine restarted by
    itself, and every request that ran on it looks like the one that killed it.

    When an engine with 40 innocent requests restarts <times> times
    Then all innocent requests got their answer
    And 0 innocent requests were refused

    Examples:
      | times |
      | 1     |
      | 2     |

  Scenario: One broken stream is no lost endpoint
    A user's request is refused although no engine ever failed. Two of its streams
    broke in the network, and each was taken for a lost endpoint.

    Given a pool of 2 daemons and 2 engines
    When a request is sent
    And its stream breaks 3 times while the engine lives on
    Then nobody is suspected

  Scenario: A daemon that joins later refuses as well
    A caller whose request killed two engines reaches a daemon that started only
    afterwards, which knows of nothing and lets the request kill a third engine.

    Given a pool of 3 daemons and 3 engines
    And "crash" lost two endpoints
    When a daemon forgets all, and its peers link to it again
    Then that daemon refuses "crash" as "blamed"
    And after 700 seconds it runs again

  Scenario: The loss is counted although the daemon that asked died
    The daemon that saw the engine die tells of a suspicion and dies before it can
    tell of the proof. Nobody would ever count that loss.

    Given an empty table of blame
    When losses of "e0" and "e1" are told of "crash" and never proved
    Then "crash" is judged "hold" at first
    And "crash" is judged "refuse" after 6 seconds

  Scenario: The table of blame is bounded
    Given an empty table of blame
    When 3000 fingerprints are suspected after "crash" lost two endpoints
    Then the table holds 1000 entries
    And "crash" is judged "refuse" at once

  Scenario: No order of losses, restarts and repeats costs a third endpoint
    When 20 runs with a crashing request and seeded restarts are fuzzed
    Then no run lost more than 2 endpoints to it
