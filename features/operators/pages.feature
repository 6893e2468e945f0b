Feature: The pages say what the code does
  An operator searches a page for a name that a chart or an error shows.

  Scenario: The page of settings is the one that the schema gives
    When docs/settings.md is made anew
    Then it is the page that stands there; else run "make docs"

  Scenario Outline: Every metric stands in docs/metrics.md, and the reverse
    When the <kind> of the code are collected
    Then the table "<heading>" of docs/metrics.md names the same

    Examples:
      | kind     | heading  |
      | counters | Counters |
      | timers   | Timers   |
      | gauges   | Gauges   |

  Scenario: Every change of state has a log level
    When the records of the code are collected
    Then each is of a request's family or stands in logs.LEVELS, and the reverse

  Scenario: The exit codes of the page are those of the command
    When docs/operators.md is read
    Then its table of exit codes is that of errors.ExitCode

  Scenario: Every command stands in the page with an example
    When docs/operators.md is read
    Then it shows an example of each command
