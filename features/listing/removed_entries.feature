Feature: An endpoint whose entry is removed gets no new calls

  Scenario Outline: The log says whether an endpoint without an entry stays in use: <when>
    Guards against calls to unlisted endpoints that no log line explains.

    Given a pool of 9 daemons that list 4 endpoints
    When an entry is removed <when>
    Then each daemon logs once that the endpoint is not listed, in use: <in_use>
    And it counts <count> endpoints in use that are not listed

    Examples:
      | when                                  | in_use | count |
      | while the store is healthy            | no     | 0     |
      | during an outage of the store of 6 s  | yes    | 1     |

  Scenario Outline: An entry removed after an outage of the store does not count as expired: <story>
    Guards against calls to an endpoint that left just after the store had come back.

    Given a pool of <daemons> daemons that list 4 endpoints
    When an entry is removed <after> s after an outage of <away> s, at each of 9 offsets
    Then no daemon uses that endpoint <bound> s after the removal

    Examples:
      | story                      | daemons | away | after | bound |
      | shortest detectable outage | 9       | 2.4  | 3.0   | 2.0   |
      | leases persist             | 9       | 6.4  | 3.0   | 2.0   |
      | leases expire              | 9       | 12.0 | 3.0   | 2.0   |
      | a second later             | 9       | 6.4  | 4.0   | 2.0   |
      | a large pool               | 40      | 6.4  | 4.0   | 3.0   |

  Scenario Outline: A daemon cut off from the store drops an endpoint that left meanwhile: <story>
    Guards against calls to an endpoint that left while one daemon could not learn of it.

    Given a pool of 9 daemons that list 4 endpoints
    When an entry is removed <after> s into a cut of one daemon of <away> s, at each of 9 offsets
    Then that daemon does not use that endpoint 3 s after its cut is over

    Examples:
      | story            | away | after |
      | at its start     | 6.4  | 0.1   |
      | just before end  | 6.4  | 6.3   |
      | in a short one   | 3.0  | 1.5   |

  Scenario Outline: Endpoints whose entries expire in an outage stay in use: <story>
    Guards against rejected callers while entries of live endpoints are missing.

    Given a pool of <daemons> daemons that list 4 endpoints
    When all entries expire in an outage of <away> s and are back <back> s after it
    Then each daemon uses all endpoints throughout

    Examples:
      | story              | daemons | away | back |
      | back at once       | 9       | 6.4  | 0.1  |
      | back in a second   | 9       | 6.4  | 1.0  |
      | back in two        | 9       | 6.4  | 2.0  |
      | leases expire too  | 9       | 12.0 | 2.0  |
      | a short outage     | 9       | 3.6  | 2.0  |
      | a large pool       | 40      | 6.4  | 2.0  |

  Scenario Outline: Subscribers learn that an engine is listed again: <daemons> daemons
    Guards against subscribers that drop engines which their relays kept in use.

    Given a pool of <daemons> daemons that list 4 endpoints
    When all entries expire in an outage of 6.4 s and are back 2 s after it, with owners
    Then each daemon uses all endpoints throughout

    Examples:
      | daemons |
      | 9       |
      | 40      |

  Scenario Outline: Endpoints whose entries expired stay in use through a second outage: <story>
    Guards against rejected callers if the store fails again before it lists them.

    Given a pool of 9 daemons that list 4 endpoints
    When all entries expire, and the store is away again <gap> s after its return for 6 s
    Then each daemon uses all endpoints throughout

    Examples:
      | story                  | gap |
      | almost at once         | 0.5 |
      | just before the list   | 1.9 |

  Scenario: In random histories, removed endpoints are dropped and expired ones stay
    Guards against both faults at once, with random outages, cuts, expiries and removals.

    Then 4 random histories of "which entries are gone" break nothing
