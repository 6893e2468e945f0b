Feature: An endpoint that announces draining in its responses receives no new calls

  Scenario Outline: An endpoint that announces draining receives no new calls: <endpoint>, <while>
    Guards against calls to an endpoint whose draining is known only from its responses.

    Given the whole path
    When <endpoint> announces draining while <while>, and calls arrive for 4 s
    Then it receives no call later than 2 s after the first such response
    And all calls are answered

    Examples:
      | endpoint | while                      |
      | desk-1   | the store is unavailable   |
      | engine-1 | the store is unavailable   |
      | desk-1   | its entry says it is ready |
      | engine-1 | its entry says it is ready |

  Scenario: A queued call is not sent to an endpoint that starts draining
    Guards against calls that are sent after the response that announces draining.

    Given the whole path
    When a draft is queued for an engine that then starts draining
    Then the other engine completes the draft

  Scenario: An endpoint that restarts under its id receives calls again
    Guards against a draining state that outlives a restart of the endpoint.

    Given the whole path
    When all plain endpoints announce draining and restart
    Then calls soon succeed
