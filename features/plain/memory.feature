Feature: Memory held for callers stays within a budget

  Scenario Outline: 500 callers that read slowly: <story>
    Guards against a daemon that runs out of memory because callers do not read.

    Given a budget of <limit> MB
    When 500 callers come in <seconds> s with bodies of <body> kB, and read <reads>
    Then at most <most> MB are held, and nothing at the end
    And the callers refused are <refused>, and those disconnected <gone>

    Examples:
      | story                         | limit | seconds | body | reads                 | most | refused | gone |
      | no budget                     | 0     | 10      | 64   | nothing for 60 s      | 70   | none    | none |
      | none of them reads            | 20    | 10      | 64   | nothing for 60 s      | 20   | some    | some |
      | little is held                | 100   | 10      | 64   | nothing for 60 s      | 70   | none    | some |
      | all read a piece every 3 s     | 20    | 10      | 64   | a piece every 3 s      | 20   | some    | none |
      | no bodies, none reads         | 20    | 10      | 0    | nothing for 60 s      | 34   | none    | some |
      | less than half is held        | 200   | 10      | 64   | nothing for 60 s      | 70   | none    | none |

  Scenario Outline: A caller that stops reading a response of a daemon: <story>
    Guards against a request that stays in memory after its caller was disconnected.

    Given a budget of <limit> MB
    When a request with a body of 300 kB gets <answer> kB, and its caller reads <reads>
    Then it ends as <outcome> after <least> to <most> s, and nothing is held

    Examples:
      | story                    | limit | answer | reads            | outcome      | least | most |
      | reads at once            | 1     | 400    | at once          | ended        | 0     | 0.1  |
      | reads nothing            | 1     | 400    | nothing for 60 s | disconnected | 5     | 6    |
      | reads a piece every 3 s   | 1     | 400    | a piece every 3 s | ended        | 18    | 22   |
      | reads nothing, no budget | 0     | 400    | nothing for 60 s | ended        | 59    | 61   |
      | little is held           | 9     | 400    | nothing for 60 s | ended        | 419   | 421  |
      | its body is too large    | 0.2   | 400    | at once          | refused      | 0     | 0.1  |
