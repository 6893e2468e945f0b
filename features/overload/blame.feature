Feature: Requests that crash endpoints
  At most two endpoints are lost to a request, and no other request is refused.

  Scenario Outline: The caller of a crashing request sends it again by other hosts
    Engine after engine restarts, each with all that it ran. One request crashes the
    engine that runs it. Its caller gets an error and sends the request through the next
    host, which sends it to the next engine. Without a table of suspects this never ends.
    Without quarantine, innocent requests that were retried together are lost together
    again, and refused.

    When a request that crashes engines runs beside 40 others with "<blame>"
    Then <lost> endpoints were lost
    And <refused> innocent requests were refused

    Examples:
      | blame                      | lost         | refused  |
      | no blame                   | more than 5  | 0        |
      | two losses, no quarantine  | 2            | some     |
      | two losses, quarantine     | 2            | 0        |

  Scenario Outline: An engine restarts with forty innocent requests, <times> times
    An innocent request is refused as "blamed". The engine restarted by itself, and every
    request that ran on it looked like the cause.

    When an engine with 40 innocent requests restarts <times> times
    Then all innocent requests got their answer
    And 0 innocent requests were refused

    Examples:
      | times |
      | 1     |
      | 2     |

  Scenario: A broken stream is not a lost endpoint
    A request is refused although no engine failed. Two of its streams broke in the
    network, and each was counted as a lost endpoint.

    Given a pool of 2 daemons and 2 engines
    When a request is sent
    And its stream breaks 3 times while the engine keeps running
    Then nothing is suspected

  Scenario: A daemon that joins later refuses as well
    A caller whose request crashed two engines reaches a daemon that started afterwards.
    The daemon has no suspects and lets the request crash a third engine.

    Given a pool of 3 daemons and 3 engines
    And "crash" lost two endpoints
    When a daemon loses its table, and its peers connect to it again
    Then that daemon refuses "crash" as "blamed"
    And after 700 seconds it runs again

  Scenario: A loss counts although the daemon that probed died
    The daemon that detected the crash of an engine announces a suspicion, and dies
    before it sends the proof. Without a timeout the loss would never count.

    Given an empty table of suspects
    When losses of "e0" and "e1" are suspected for "crash" and never proved
    Then the verdict on "crash" is "hold" at first
    And the verdict on "crash" is "refuse" after 6 seconds

  Scenario: The table of suspects is bounded
    Given an empty table of suspects
    When 3000 fingerprints are suspected after "crash" lost two endpoints
    Then the table holds 1000 entries
    And the verdict on "crash" is "refuse" at once

  Scenario: No order of losses, restarts and repeats costs a third endpoint
    When 20 runs with a crashing request and seeded restarts are fuzzed
    Then no run lost more than 2 endpoints to it
