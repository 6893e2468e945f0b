Feature: Owners estimate the speed of each engine of a service

  Scenario Outline: The speed of an engine: <story>
    Engines of one service take 0.6 to 1.6 times the usual time. Placement that assumed
    equal engines made a third of the streams late, most of them on the slow ones.

    When <daemons> daemons see <count> responses in <s> s that take <times> times
    And of them <stray>
    Then its speed is from <least> to <most>

    Examples:
      | story                   | daemons | count | s  | times | stray                          | least | most |
      | usual                   | 9       | 24    | 8  | 1.0   | none differs                   | 0.95  | 1.05 |
      | slow                    | 9       | 24    | 8  | 1.6   | none differs                   | 1.4   | 1.65 |
      | fast                    | 9       | 24    | 8  | 0.6   | none differs                   | 0.58  | 0.72 |
      | beyond the bounds       | 9       | 60    | 8  | 90    | none differs                   | 4     | 6    |
      | slow periods            | 9       | 24    | 8  | 1.0   | 15% take 2.5 times as long     | 0.95  | 1.1  |
      | slow, with slow periods | 9       | 24    | 8  | 1.6   | 15% take 2.5 times as long     | 1.4   | 1.7  |
      | one wrong daemon        | 9       | 24    | 8  | 1.0   | one daemon reports 6 times     | 0.95  | 1.05 |
      | one wrong, most reports | 4       | 24    | 8  | 1.0   | one daemon sends 3 times as many, 6 times as long | 0.95 | 1.05 |
      | wrong values            | 9       | 24    | 8  | 1.0   | one daemon reports nan times   | 0.95  | 1.05 |
      | few responses           | 2       | 2     | 1  | 2.5   | none differs                   | 1.0   | 1.4  |
      | no response             | 0       | 0     | 1  | 1.0   | none differs                   | 0     | 0    |

  Scenario Outline: A lasting change shows within seconds, a slow period does not
    When 9 daemons see 24 responses in 8 s that take 1.0 times
    And of them none differs
    And after that they take <times> times for <s> s
    Then its speed is from <least> to <most>
    And it <is> in a slow period

    Examples:
      | times | s   | least | most | is     |
      | 2.5   | 0.6 | 0.95  | 1.1  | is     |
      | 1.2   | 0.6 | 0.95  | 1.2  | is not |
      | 2.5   | 8   | 2.0   | 2.6  | is not |
      | 0.4   | 8   | 0.38  | 0.55 | is not |

  Scenario: An idle engine keeps its speed
    When 9 daemons see 24 responses in 8 s that take 1.6 times
    And of them none differs
    And after that one response a minute takes 1.6 times, for 5 minutes
    Then its speed is from 1.3 to 1.65

  Scenario: A new owner starts from the speed that the previous one published
    When an owner starts from 1.6, and sees 2 responses that take 0.6 times
    Then its speed is from 1.0 to 1.6

  Scenario: An owner with few calls of its own does not estimate a speed
    Its forecasts are mostly priors, by which it published an engine as twice as slow as it is.

    When an owner that has seen 3 calls gets reports of times of 3 s
    Then its speed is from 0 to 0

  Scenario: An owner learns from what daemons report, and publishes it
    Given an owner whose calls take 0.1 s, with 0.05 s between events
    When 5 daemons report first events after 0.16 s and events each 0.08 s
    Then its updates on the engine state a speed from 1.3 to 1.7

  Scenario: A report contains the latest first events and all gaps
    When a daemon sees 20 first events and 40 gaps of 0.05 s before it reports
    Then the report contains the last 8 first events, and 40 gaps of 2 s in all
    And the next report is empty

  Scenario Outline: Reports of daemons reach the engine's owner: learn_speeds <learn>
    When daemons' streams begin after 0.2 s with events each 0.1 s, and speeds are learned: <learn>
    Then their owner holds a speed from <least> to <most>, and logs it <lines> times

    Examples:
      | learn | least | most | lines |
      | yes   | 1.5   | 2.2  | 2     |
      | no    | 0     | 0    | 0     |
