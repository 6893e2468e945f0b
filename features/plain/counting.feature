Feature: A coordinator for each plain endpoint counts the requests of all daemons

  Scenario Outline: Daemons that place one request each: <story>
    Guards against requests routed to a full endpoint while others are idle.

    Given a pool of <daemons> daemons before <endpoints> plain endpoints of 6 slots
    When <requests> daemons of one data centre place a request each, <gap> ms apart
    Then the endpoints run <running>, and <messages> plain messages were sent

    Examples:
      | story                             | daemons | endpoints | requests | gap | running | messages |
      | six fill the near endpoint        | 40      | 2         | 6        | 10  | 6 0     | some     |
      | the others go to the far one      | 40      | 2         | 10       | 10  | 6 4     | some     |
      | beyond all slots they share       | 40      | 2         | 18       | 10  | 10 8    | some     |
      | one endpoint alone gets all       | 40      | 1         | 8        | 10  | 8       | some     |
      | a small pool uses own counts only | 16      | 2         | 8        | 10  | 8 0     | no       |

  Scenario: The load of a varying few of a service's many endpoints is requested
    Guards against full endpoints while others, whose load is never requested, are idle.

    Given a pool of 40 daemons before 12 plain endpoints of 6 slots
    When 40 daemons of one data centre place a request each, 10 ms apart
    Then no endpoint runs more than 7 of them

  Scenario Outline: Own counts are used if the coordinator does not respond: <story>
    Guards against requests that wait for a daemon that is gone, or count there forever.

    Given a pool of 40 daemons before 2 plain endpoints of 6 slots
    When the coordinator of the near endpoint is <trouble>, and a request is placed
    Then it goes to the near endpoint after <least> to <most> ms
    And the next one goes there after 0 to <next> ms
    And a request that is placed <after> s later is counted: <counted>

    Examples:
      | story                                | trouble        | least | most | next | after | counted |
      | cut off                              | cut off        | 29    | 31   | 4    | 1.5   | no      |
      | cut off, then not listed             | cut and unlisted later | 29 | 31 | 4 | 2.5  | yes     |
      | of a version that does not count yet | older          | 0     | 3    | 4    | 2.5   | no      |
      | healthy                              | healthy        | 2     | 10   | 10   | 0.5   | yes     |

  Scenario Outline: The count after each placed request: <story>
    Guards against counts that are never decremented, which would close an endpoint.

    Given a pool of 40 daemons before 2 plain endpoints of 6 slots
    When 6 requests are placed at the near endpoint, and each of them <story>
    Then its coordinator counts <count> requests there

    Examples:
      | story                           | count |
      | is still running                | 6     |
      | is answered                     | 0     |
      | is aborted                      | 0     |
      | is cancelled while it is placed | 0     |
