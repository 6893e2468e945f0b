Feature: All daemons together keep to the rate limit that an endpoint names

  Scenario Outline: The log and the metrics show the limit that <endpoint> names
    Guards against an endpoint's limit that is missing in the log.

    Given the whole path
    When <endpoint> names a limit of 2.5 a second, and calls come until it names none
    Then the log shows the limit, its end, and what was known when calls were sent
    And the metrics count limits that were set and ended

    Examples:
      | endpoint |
      | desk-1   |
      | engine-1 |

  Scenario Outline: A limited endpoint gets no more than its limit: <endpoint>, <limit> a second
    Guards against daemons that send an endpoint more than the limit that it names.

    Given the whole path with 3 daemons
    When <endpoint> names a limit of <limit> a second, and <calls> calls a second come for 9 s
    Then from 3 s on it gets at most 1.5 times its limit plus 5 in any 4 s
    And it gets at least half of its limit
    And all calls are answered

    Examples:
      | endpoint | limit | calls |
      | desk-1   | 1     | 20    |
      | desk-1   | 6     | 40    |

  Scenario Outline: A limited engine gets no more than its limit: <limit> a second
    Guards against drafts and orders above the limit that an engine names.

    Given the whole path with 3 daemons
    When engine-1 names a limit of <limit> a second, and <calls> calls a second come for 9 s
    Then from 3 s on it gets at most 1.5 times its limit plus 5 in any 4 s
    And all calls are answered

    Examples:
      | limit | calls |
      | 1     | 16    |
      | 4     | 40    |

  Scenario Outline: A limit in a response is parsed: "<value>"
    Guards against limits that are ignored, and against invalid values taken for a limit.

    When an endpoint's response names the limit "<value>"
    Then it is read as <limit>

    Examples:
      | value | limit      |
      | 1.4   | 1.4        |
      | 0     | 0.0        |
      | 12    | 12.0       |
      | -1    | unreadable |
      | nan   | unreadable |
      | many  | unreadable |
      | inf   | unreadable |

  Scenario Outline: All daemons know a limit soon, through few messages: <daemons> daemons
    Guards against daemons that learn of a limit one by one, and against updates that
    circulate between relays forever.

    Given a pool of <daemons> daemons, whose relays subscribe to each other
    When one of them learns that an endpoint accepts 1 call a second
    Then all know it within 0.1 s, through at most <messages> messages

    Examples:
      | daemons | messages |
      | 9       | 10       |
      | 40      | 84       |

  Scenario: A limited endpoint whose coordinator is gone gets no calls
    Guards against calls without a permit while no daemon issues any.

    Given a pool of 9 daemons, whose relays subscribe to each other
    When an endpoint names a limit, and its coordinator is cut off
    Then no other daemon gets a permit, until the coordinator is removed from the list

  Scenario: A limit named by another endpoint at the same address is ignored
    Guards against limits of an endpoint that reuses the address of one that is gone.

    Given a pool of 9 daemons, whose relays subscribe to each other
    When a response of another endpoint at its address names a limit
    Then no daemon treats the endpoint as limited

  Scenario: A response to an earlier call does not end a limit
    Guards against limits that end when a response to an earlier call arrives late.

    Given a pool of 9 daemons, whose relays subscribe to each other
    When a limit is named, and a response to an earlier call, without one, comes later
    Then all 9 daemons treat the endpoint as limited

  Scenario: A limited endpoint gets no more than its limit in random histories
    Guards against permits issued twice while daemons are killed and cut off.

    Then 20 random histories of "what a limited endpoint gets" break nothing
