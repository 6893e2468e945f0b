Feature: An endpoint whose entry is removed gets no new calls

  Scenario Outline: The log tells whether an endpoint without an entry stays in use: <when>
    Guards against calls to unlisted endpoints that no log line explains.

    Given a pool of 9 daemons that list 4 endpoints
    When an entry is removed <when>
    Then each daemon logs once that the endpoint is not listed, in use: <in_use>
    And it counts <count> endpoints in use that are not listed

    Examples:
      | when                                  | in_use | count |
      | while the store is well               | no     | 0     |
      | during an outage of the store of 6 s  | yes    | 1     |
