Feature: Logs and metrics show for how long a version has been superseded

  Scenario Outline: The log line of an attempt has the version and its age: <story>
    Guards against work on an older version that no log line explains.

    Given the whole path
    When a call runs on a new adapter <when> a version of it is named
    Then its log line has held version <held>, superseded: <superseded>
    And the histogram of first events on superseded versions counts <count>

    Examples:
      | story         | when              | held | superseded | count |
      | none is named | before            | 0    | no         | 0     |
      | one is named  | 0.5 s after       | 0    | yes        | 1     |
