Feature: A request that crashes endpoints is refused, and innocent ones are not

  Scenario Outline: A deadly <kind> request <body> ends two endpoints, each then <how>
    Guards against requests that come again by any host and go on ending endpoints.

    Given the whole path with 3 daemons
    When a "<kind>" request "<body>" crashes each endpoint that runs it, and comes by all hosts in turn
      | what is there then | comes |
      | <how>              | 8     |
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

  Scenario Outline: A deadly <kind> request of a caller whose address changes
    Guards against callers behind several addresses, whose requests count as different ones.

    Given the whole path with 3 daemons
    When a "<kind>" request without body crashes each endpoint that runs it, and comes by another address each time
    Then at most 3 endpoints are lost, and the last 3 times it is refused

    Examples:
      | kind  |
      | look  |
      | order |
      | note  |

  Scenario Outline: A host that <was> when the others learned of a deadly request refuses it
    Guards against hosts that go on passing on what the others refuse.

    Given the whole path with 3 daemons
    When a deadly look-up ends two endpoints by two hosts, and the third <was> then
    Then it is refused by all hosts within 1 s of their readiness, and ends no further endpoint

    Examples:
      | was                 |
      | was not started     |
      | started again       |
      | heard no other host |

  Scenario: A deadly request is refused after all hosts have started again
    Guards against blame that ends with the processes which learned of it.

    Given the whole path with 3 daemons
    When a deadly look-up ends two endpoints, and all hosts start again
    Then it is refused by all hosts within 1 s of their readiness, and ends no further endpoint

  Scenario: A call that is left after a silence of 2.3 s costs its host nothing
    Guards against daemons that end by an error as they probe an endpoint that was silent.

    Given the whole path with 3 daemons
    When a caller leaves a silent endpoint after 2.3 s
    Then its host serves on, and has counted no error of its own

  Scenario: Several deadly requests side by side end two endpoints each at most
    Guards against blame that counts for one request at a time.

    Given the whole path with 3 daemons
    When 2 deadly look-ups of several callers come by all hosts in turn
    Then at most 4 endpoints are lost, and each of them is refused in the end

  Scenario: Innocent requests beside a deadly one are served
    Guards against blame of what runs beside a deadly request.

    Given the whole path with 3 daemons
    When a deadly look-up comes by all hosts in turn beside 120 innocent look-ups
    Then at most 2 endpoints are lost
    And of the innocent look-ups at most 2 are not served, neither at once nor when they come again
