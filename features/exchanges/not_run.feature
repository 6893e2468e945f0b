Feature: "Not run" is concluded from proof alone

  Scenario Outline: A long call that may run once, when an endpoint <does>
    Guards against calls that are sent again though an endpoint may have run them.

    Given the whole path
    When a long call that may run once meets an endpoint that <does>
    Then it is answered with <status>, after it was sent to <sent> endpoints

    Examples:
      | does                       | status | sent |
      | answers                    | 200    | 1    |
      | resets midway              | 502    | 1    |
      | closes midway              | 502    | 1    |
      | reads all and ends         | 502    | 1    |
      | reads all and resets       | 502    | 1    |
      | refuses early and reads on | 200    | 2    |
      | refuses early and closes   | 200    | 2    |

  Scenario Outline: A call that may run once, whose caller <how> while it runs
    Guards against calls that are sent again after a time-out or for a caller who left.

    Given the whole path
    When a call that may run once runs for a second and its caller <how>
    Then it was sent to 1 endpoint

    Examples:
      | how                 |
      | leaves after 200 ms |
      | waits for 300 ms    |
      | waits to the end    |
