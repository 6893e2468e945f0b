Feature: A request that crashes endpoints is refused, and harmless ones are not

  Scenario Outline: A fatal <kind> request <body> crashes two endpoints, each then <how>
    Guards against requests that are repeated at any host and crash further endpoints.

    Given the whole path with 3 daemons
    When a "<kind>" request "<body>" crashes each endpoint that runs it, and is sent to all hosts in turn
      | state after a crash | requests |
      | <how>               | 8        |
    Then at most <lost> endpoints are lost, and the last 3 times it is refused
    And the same request of another caller is served

    Examples: plain endpoints
      | kind  | body         | how     | lost |
      | look  | without body | refuses | 2    |
      | look  | with a body  | refuses | 2    |
      | look  | without body | silent  | 3    |
      | look  | without body | new id  | 2    |
      | look  | without body | same id | 2    |
      | order | with a body  | refuses | 2    |
      | order | without body | silent  | 3    |
      | order | without body | new id  | 2    |

    Examples: engines
      | kind  | body         | how     | lost |
      | draft | with a body  | refuses | 2    |
      | draft | without body | refuses | 2    |
      | draft | without body | silent  | 3    |
      | note  | without body | refuses | 2    |
      | note  | with a body  | silent  | 3    |
      | note  | with a body  | same id | 2    |

  Scenario Outline: A fatal <kind> request of a caller whose address changes
    Guards against requests of one caller that count as different because its address changes.

    Given the whole path with 3 daemons
    When a "<kind>" request without body crashes each endpoint that runs it, and is sent from another address each time
    Then at most 3 endpoints are lost, and the last 3 times it is refused

    Examples:
      | kind  |
      | look  |
      | order |
      | note  |

  Scenario Outline: A host that <was> when the others learned of a fatal request refuses it
    Guards against hosts that still forward what the others refuse.

    Given the whole path with 3 daemons
    When a fatal look-up sent to two hosts crashes two endpoints, and the third <was> then
    Then it is refused by all hosts within 1 s of their readiness, and crashes no further endpoint

    Examples:
      | was                 |
      | was not started     |
      | was restarted       |
      | received no message |

  Scenario: A fatal request is refused after all hosts were restarted
    Guards against refusals that are lost with the processes that decided on them.

    Given the whole path with 3 daemons
    When a fatal look-up crashes two endpoints, and all hosts are restarted
    Then it is refused by all hosts within 1 s of their readiness, and crashes no further endpoint

  Scenario: A call whose caller disconnects after 2.3 s of silence causes no error
    Guards against daemons that fail when they probe an endpoint that was silent.

    Given the whole path with 3 daemons
    When a caller disconnects from a silent endpoint after 2.3 s
    Then its host keeps serving, and has logged no internal error

  Scenario: Several fatal requests at a time crash two endpoints each at most
    Guards against suspicion of one request at a time only.

    Given the whole path with 3 daemons
    When 2 fatal look-ups of several callers are sent to all hosts in turn
    Then at most 4 endpoints are lost, and each of them is refused in the end

  Scenario: Harmless requests beside a fatal one are served
    Guards against refusals of requests that run beside a fatal one.

    Given the whole path with 3 daemons
    When a fatal look-up is sent to all hosts in turn beside 120 harmless look-ups
    Then at most 2 endpoints are lost
    And of the harmless look-ups at most 2 are not served, neither at once nor when they are repeated

  Scenario Outline: A fatal look-up is not cleared as endpoints <fail> it now and then
    Guards against an answer that does not show that an endpoint survived the request.

    Given the whole path with 3 daemons
    When a fatal look-up is sent to all hosts in turn, and after each crash endpoints <fail> it once
    Then at most 3 endpoints are lost, and the last 3 times it is refused

    Examples:
      | fail             |
      | fail             |
      | fail as too late |

  Scenario: A fatal look-up that two callers send at once, others each time, is refused
    Guards against losses that two addresses share and that count for neither.

    Given the whole path with 4 daemons
    When a fatal look-up is sent by two other addresses at once each time, to the only endpoint
    Then at most 3 endpoints are lost, and the last 3 times it is refused

  Scenario Outline: Losses that addresses share are evidence against a request: <story>
    Guards against one address that is taken for the cause of losses it was not part of.

    Given a ledger of crashes
    When endpoints are lost, one each 2 s, with the same request of the addresses "<losses>"
    Then the request of address "z" is refused: <refused>

    Examples:
      | story                              | losses      | refused |
      | one loss                           | a           | no      |
      | one address alone                  | a;a         | no      |
      | two addresses, each alone          | a;b         | yes     |
      | one address is part of all losses  | a,b;a,c;a,d | no      |
      | two losses are shared              | a,b;c,d     | no      |
      | no address is part of three losses | a,b;c,d;e,f | yes     |
      | the same, by turns                 | a,b;b,c;a,c | yes     |
      | a pair, then one alone             | a,b;a,b;c   | yes     |
