Feature: What callers get under an overload, by how overdue calls are treated
  A pool in virtual time: engines and callers are a model, the decisions are those that
  serve. `bench/overload_load.py` plays more loads and seeds.

  Scenario Outline: Overdue calls that go last make fewer others late: <load> times, <story>
    Guards against policies that serve fewer callers in time than today's.

    When <load> times the usual load is played with seeds <seeds>, <crash> of the engines lost and <hasty> of the clients hasty
    Then with overdue calls last at least <more> more of the callers are answered in time
    And at most <late> as many late
    And no call waits longer than its caller would

    Examples:
      | load | story                       | seeds | crash | hasty | more   | late |
      | 1    | all is well                 | 1     | 0     | 0.3   | -0.005 | 1.5  |
      | 2    | the day's peak              | 1..2  | 0     | 0.3   | 0.02   | 0.7  |
      | 3    | and engines are lost        | 1..2  | 0.25  | 0.3   | 0.02   | 0.7  |
