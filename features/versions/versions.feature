Feature: Work begins on a named version within 5 s

  Scenario: Naming a further version does not let a superseded version serve again
    Guards against work on a version whose successor was named long before the newest.

    Given the whole path
    When version 2 of an adapter is named, and version 3 once that is in use for 5.2 s
    Then no call begins on an older version later than 5 s after its successor was named

  Scenario Outline: A call queued in its engine does not begin on an older version: <story>
    Guards against work that was sent in time and began too late.

    Given the whole path
    When a call on "<route>" is sent <after> s after version 2 was named, and queued <queue> s
    Then no call begins on an older version later than 5 s after its successor was named
    And the caller gets status <status>

    Examples:
      | story                          | route | after | queue | status |
      | it is sent to an older version | draft | 2.5   | 4     | 200    |
      | it was sent before the naming  | draft | -0.5  | 7     | 200    |
      | it may run once only           | note  | 2.5   | 4     | 502    |
      | once only, before the naming   | note  | -0.5  | 7     | 502    |

  Scenario Outline: Operators configure for how long older versions may serve: <bound> ms
    Guards against a hard-coded bound.

    Given the whole path, on a platform that allows older versions for <bound> ms
    When a call arrives 1 s after version 2 of an adapter was named
    Then it begins on version <version>

    Examples:
      | bound | version |
      | 5000  | 1       |
      | 2000  | 2       |

  Scenario: A daemon that starts does not treat a version that was named before as new
    Guards against work on an older version by each host that is restarted or replaced.

    Given the whole path
    When a daemon starts 4 s after version 2 was named, and is called until 7 s after it
    Then no call begins on an older version later than 5 s after its successor was named
