Feature: What endpoints ask for in their answers is read, logged and counted

  Scenario Outline: An answer's signs are read: <status> with "<header>: <value>"
    Guards against signs that are missed, and against nonsense taken for one.

    When an endpoint answers <status> with "<header>" of "<value>"
    Then the endpoint is <leaves>, wants a rest of <rest>, unreadable: <unreadable>

    Examples:
      | status | header         | value                         | leaves  | rest | unreadable |
      | 200    | Server-Leaving | 1                             | leaving | none | no         |
      | 503    | Server-Leaving | 1                             | leaving | none | no         |
      | 200    | Server-Leaving | 0                             | staying | none | no         |
      | 503    | Retry-After    | 3                             | staying | 3.0  | no         |
      | 503    | Retry-After    | 0.5                           | staying | 0.5  | no         |
      | 503    | Retry-After    | Wed, 21 Oct 2026 07:28:00 GMT | staying | none | yes        |
      | 503    | Retry-After    | -1                            | staying | none | yes        |
      | 200    | Retry-After    | 3                             | staying | none | no         |

  Scenario Outline: The log and the metrics tell that an endpoint <does>
    Guards against leaving and rest that no log line shows.

    Given the whole path
    When all plain endpoints <do>, and a call comes
    Then the log tells it as "<line>", and the gauge "<gauge>" counts it

    Examples:
      | does          | do           | line             | gauge             |
      | leaves        | leave        | endpoint.leaving | endpoints_leaving |
      | asks for rest | ask for rest | endpoint.resting | endpoints_resting |
