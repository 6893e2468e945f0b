Feature: An endpoint that requests a pause receives no calls from that host

  Scenario Outline: An endpoint is paused for as long as it requests: <endpoint>
    Guards against hosts that keep trying an endpoint that rejects all calls.

    Given the whole path
    When <endpoint> rejects calls with a pause of <pause> s, and calls arrive for 5 s
    Then it receives at most 2 calls from 0.5 s after each rejection to the end of its pause
    And all calls are answered

    Examples:
      | endpoint | pause |
      | desk-1   | 1.5   |
      | desk-1   | 3     |
      | engine-1 | 3     |

  Scenario: Callers are refused at once while all endpoints are paused
    Guards against calls that wait for paused endpoints or are sent to them.

    Given the whole path
    When all plain endpoints reject calls with a pause of 3 s, and then a call arrives
    Then it is refused within 0.3 s, reaches no endpoint, and Retry-After names the end of the pause

  Scenario: A queued call is not sent to an endpoint that requests a pause
    Guards against calls that are sent after the response that requests a pause.

    Given the whole path
    When a draft is queued for an engine that then requests a pause
    Then the other engine completes the draft
