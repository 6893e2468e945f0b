Feature: A daemon that stops rejects calls in time that may outlast it

  Scenario Outline: Calls that arrive late in the grace period: <story>
    Guards against calls that are passed on while the daemon hands over, and cut at its end.

    Given a daemon with a grace period of 8 s whose hand-over takes <took> s
    When it is stopped, and <count> calls run for <runs> s
    Then a call of 6 s that arrives <arrives> s after the signal is <outcome>
    And the daemon ends after <least> to <most> s

    Examples:
      | story                          | took | count | runs | arrives | outcome  | least | most |
      | all is calm                    | 0.2  | 0     | 0    | 3       | rejected | 2.6   | 2.9  |
      | a call before that             | 0.2  | 0     | 0    | 1       | accepted | 2.6   | 2.9  |
      | the store is slow              | 6    | 1     | 6    | 3       | rejected | 6     | 6.3  |
      | the store doesn't answer       | 60   | 1     | 5    | 5       | rejected | 7.3   | 7.5  |
      | calls run on                   | 0.2  | 1     | 7    | 3       | rejected | 7     | 7.3  |
      | calls outlast it               | 0.2  | 1     | 60   | 3       | rejected | 7.3   | 7.8  |
      | only the hand-over takes time  | 4    | 0     | 0    | 3       | rejected | 4     | 4.3  |
