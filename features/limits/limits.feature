Feature: An endpoint that names a limit gets no more than that from all daemons together

  Scenario Outline: The log and the metrics tell the limit that <endpoint> names
    Guards against an endpoint's limit that no log line shows.

    Given the whole path
    When <endpoint> names a limit of 2.5 a second, and calls come until it names none
    Then the log tells the limit, its end, and what was known when calls were sent
    And the metrics count limits that were named and ended

    Examples:
      | endpoint |
      | desk-1   |
      | engine-1 |

  Scenario Outline: No more reaches a limited endpoint than it takes: <endpoint>, <limit> a second
    Guards against daemons that go on sending an endpoint more than it says that it takes.

    Given the whole path with 3 daemons
    When <endpoint> names a limit of <limit> a second, and <calls> calls a second come for 9 s
    Then from 3 s on it gets at most one and a half times that and 5 in any 4 s
    And it gets half of its limit at least
    And all calls are answered

    Examples:
      | endpoint | limit | calls |
      | desk-1   | 1     | 20    |
      | desk-1   | 6     | 40    |

  Scenario Outline: No more reaches a limited engine than it takes: <limit> a second
    Guards against drafts and orders beyond what an engine says that it takes.

    Given the whole path with 3 daemons
    When engine-1 names a limit of <limit> a second, and <calls> calls a second come for 9 s
    Then from 3 s on it gets at most one and a half times that and 5 in any 4 s
    And all calls are answered

    Examples:
      | limit | calls |
      | 1     | 16    |
      | 4     | 40    |

  Scenario Outline: A limit that an answer names is read: "<value>"
    Guards against limits that are taken for none, and against nonsense taken for a limit.

    When an endpoint's answer names the limit "<value>"
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

  Scenario Outline: All daemons hear of a limit soon, by few messages: <daemons> daemons
    Guards against daemons that learn of a limit one by one, and against news that goes
    round between relays for ever.

    Given a pool of <daemons> daemons, of which relays hear each other
    When one of them hears that an endpoint takes 1 call a second
    Then all know it within 0.1 s, by at most <messages> messages

    Examples:
      | daemons | messages |
      | 9       | 10       |
      | 40      | 84       |

  Scenario: A limited endpoint whose keeper is gone is left alone
    Guards against calls without a permit while nobody gives any.

    Given a pool of 9 daemons, of which relays hear each other
    When an endpoint names a limit, and its keeper is cut off
    Then no other daemon gets a permit, until the keeper is not listed any more

  Scenario: What another endpoint at its address asks for is not taken for an endpoint's own
    Guards against limits of an endpoint that got the address of one that is gone.

    Given a pool of 9 daemons, of which relays hear each other
    When an answer of another endpoint at its address names a limit
    Then no daemon takes the endpoint for a limited one

  Scenario: An answer to a call of before does not end a limit
    Guards against limits that end as answers of before they were named come later.

    Given a pool of 9 daemons, of which relays hear each other
    When a limit is named, and an answer to a call of before, without one, comes later
    Then all 9 daemons take the endpoint for a limited one

  Scenario: Whatever comes, a limited endpoint gets no more than it takes
    Guards against permits given twice while daemons are killed and cut off.

    Then 20 random histories of "what a limited endpoint gets" break nothing
