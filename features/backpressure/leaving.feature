Feature: An endpoint that says in its answers that it leaves gets no new calls

  Scenario Outline: An endpoint that leaves by its answers gets no new calls: <endpoint>, <while>
    Guards against calls to an endpoint whose leaving only its own answers tell.

    Given the whole path
    When <endpoint> leaves by its answers while <while>, and calls come for 4 s
    Then it gets no call later than 2 s after the first such answer
    And all calls are answered

    Examples:
      | endpoint | while                       |
      | desk-1   | the store is away           |
      | engine-1 | the store is away           |
      | desk-1   | its entry says that it stays |
      | engine-1 | its entry says that it stays |

  Scenario: A call that waits for its turn is not sent to an endpoint that leaves by then
    Guards against calls that are sent after the answer that tells the leaving.

    Given the whole path
    When a draft waits for its turn at an engine that then leaves
    Then the draft is answered whole, by the other engine

  Scenario: An endpoint that starts again under its id gets calls again
    Guards against a leaving that outlives the start that it was said of.

    Given the whole path
    When all plain endpoints leave by their answers and start again
    Then calls are soon answered
