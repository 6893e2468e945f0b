Feature: An endpoint that asks for rest gets nothing from the host that it asked

  Scenario Outline: An endpoint gets the rest that it asks for: <endpoint>
    Guards against hosts that go on trying an endpoint that turns all calls away.

    Given the whole path
    When <endpoint> turns calls away with <rest> s of rest, and calls come for 5 s
    Then it gets at most 2 calls from 0.5 s after each such answer to the rest's end
    And all calls are answered

    Examples:
      | endpoint | rest |
      | desk-1   | 1.5  |
      | desk-1   | 3    |
      | engine-1 | 3    |

  Scenario: Callers are refused at once while all endpoints rest
    Guards against callers who wait for, or try in vain, endpoints that want nothing.

    Given the whole path
    When all plain endpoints turn calls away with 3 s of rest, and then a call comes
    Then it is refused within 0.3 s, reaches no endpoint, and is told to come back after the rest

  Scenario: A call that waits for its turn is not sent to an endpoint that asks for rest by then
    Guards against calls that are sent after the answer that asks for rest.

    Given the whole path
    When a draft waits for its turn at an engine that then asks for rest
    Then the draft is answered whole, by the other engine
