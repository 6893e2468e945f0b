Feature: Backpressure headers of endpoints are decoded, logged and counted

  Scenario Outline: A backpressure header is decoded: <status> with "<header>: <value>"
    Guards against headers that are missed, and against invalid values that are accepted.

    When an endpoint responds with <status> and the header "<header>: <value>"
    Then the endpoint is <state>, requests a pause of <pause>, unreadable: <unreadable>

    Examples:
      | status | header         | value                         | state    | pause | unreadable |
      | 200    | Server-Leaving | 1                             | draining | none  | no         |
      | 503    | Server-Leaving | 1                             | draining | none  | no         |
      | 200    | Server-Leaving | 0                             | ready    | none  | no         |
      | 503    | Retry-After    | 3                             | ready    | 3.0   | no         |
      | 503    | Retry-After    | 0.5                           | ready    | 0.5   | no         |
      | 503    | Retry-After    | Wed, 21 Oct 2026 07:28:00 GMT | ready    | none  | yes        |
      | 503    | Retry-After    | -1                            | ready    | none  | yes        |
      | 200    | Retry-After    | 3                             | ready    | none  | no         |

  Scenario Outline: The log and the metrics show that an endpoint <does>
    Guards against draining and pauses that are not logged.

    Given the whole path
    When all plain endpoints <do>, and a call arrives
    Then the log has a line "<line>", and the gauge "<gauge>" counts it

    Examples:
      | does               | do                | line             | gauge             |
      | announces draining | announce draining | endpoint.leaving | endpoints_leaving |
      | requests a pause   | request a pause   | endpoint.resting | endpoints_resting |
