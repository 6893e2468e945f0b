Feature: Plain requests of a large pool are late less often than with own counts

  Scenario Outline: 71 daemons before 4 endpoints of 6 slots: <story>
    Guards against routing that overloads one endpoint, or ignores slow periods.

    Given 75 requests a second of 90 ms, of which <shares> come from each data centre
    And endpoints that take <factors> times as long, with <waiting> places in a queue
    When 8 seeds of 40 s are simulated with own counts, learning and counting
    Then counting has at most <part> of the late requests of own counts
    And counting has fewer late requests than learning, and at most 11 messages a request

    Examples:
      | story                   | shares              | factors     | waiting | part |
      | speeds differ           | 0.45 0.27 0.18 0.10 | 1 1.6 0.6 1 | 0       | 0.5  |
      | speeds differ, queue    | 0.45 0.27 0.18 0.10 | 1 1.6 0.6 1 | 6       | 0.5  |
      | most near a slow one    | 0.60 0.20 0.10 0.10 | 1.6 1 0.6 1 | 6       | 0.5  |
      | alike                   | 0.45 0.27 0.18 0.10 | 1 1 1 1     | 0       | 0.85 |
      | alike, queue            | 0.45 0.27 0.18 0.10 | 1 1 1 1     | 6       | 0.85 |
