Feature: What a caller has spent before is told by the deadline that it states

  Scenario Outline: Time spent, by deadlines of a route: <story>
    Guards against first attempts that are ranked last, and retries that are not known.

    Given requests of a route stated <stated> s, <apart> s apart
    When a request states <deadline> s
    Then its caller has spent <spent> s

    Examples:
      | story                           | stated                | apart | deadline | spent |
      | a first attempt                 | 40 x 15               | 0.2   | 15       | 0     |
      | rounded by its client           | 40 x 15               | 0.2   | 14.95    | 0     |
      | a retry                         | 40 x 15               | 0.2   | 12.5     | 2.5   |
      | half of all are retries         | 30 x 15, 30 x 14..11  | 0.2   | 12.5     | 2.5   |
      | one client waits longer         | 40 x 15, 1 x 60       | 0.2   | 15       | 0     |
      | two kinds of clients            | 30 x 15, 10 x 8       | 0.2   | 8        | 0     |
      | a retry of the second kind      | 30 x 15, 10 x 8       | 0.2   | 6        | 2     |
      | immediate retries trail behind  | 20 x 15, 30 x 15..13.5 | 0.2  | 14.5     | 0.5   |
      | each client has its own         | 40 x 15..5            | 0.2   | 9        | 0     |
      | the daemon has just started     | 10 x 15               | 0.1   | 12       | 0     |
      | it started 2 s ago              | 11 x 15               | 0.2   | 12       | 3     |
      | the deadline became shorter     | 40 x 15, 64 x 10      | 0.2   | 10       | 0     |
      | it states none                  | 40 x 15               | 0.2   | none     | 0     |
      | no number                       | 40 x 15               | 0.2   | nan      | 0     |
      | one is endless                  | 40 x 15, 1 x inf      | 0.2   | 15       | 0     |
