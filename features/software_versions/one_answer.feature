Feature: An answer goes on only at the software version that began it

  Scenario Outline: An answer that breaks goes on at its version: engine-1 <ends>
    Guards against one answer with events of two versions, which do not fit together.

    Given the whole path with 2 daemons
    When streams run on two engines of v1, two idle engines of v2 start, and engine-1 <ends>
    Then no stream holds events of two versions
    And no event is missing or comes twice
    And at least half of the streams that broke go on in their answer

    Examples:
      | ends                      |
      | cuts its streams          |
      | cuts them within an event |
      | crashes                   |
      | leaves in their middle    |

  Scenario: An answer waits for its adapter at its version
    Guards against an adapter that is held at another version drawing an answer there.

    Given the whole path with 2 daemons
    When streams for an adapter run on engine-1, the only engine of v1 that holds it, an engine of v2 holds it too, and engine-1 crashes
    Then no stream holds events of two versions
    And no event is missing or comes twice
    And at least half of the streams that broke go on in their answer

  Scenario Outline: An answer whose version is gone ends: all engines of v1 <end>
    Guards against an answer that goes on at another version as its own has no server left.

    Given the whole path with 2 daemons
    When streams run on two engines of v1, two idle engines of v2 start, and both engines of v1 <end>
    Then no stream holds events of two versions
    And no event is missing or comes twice
    And no stream is whole

    Examples:
      | end   |
      | crash |
      | leave |
