Feature: The callers' face
  What a caller may ask, and what it is told when it may not.

  Scenario: Every reason has a status and a line in the callers' page
    Then the table of docs/callers.md has each reason with its status

  Scenario Outline: A request that cannot be taken is refused before it runs
    When the counter sends <method> "<path>" with <headers> and body <body>
    Then the status is <status>
    And the error code is "<code>" and says "not_run"

    Examples: forms
      | method | path                 | headers | body                          | status | code               |
      | POST   | /v1/completions      | none    | {                             | 400    | bad_request        |
      | POST   | /v1/completions      | none    | nothing                       | 400    | bad_request        |
      | POST   | /v1/completions      | none    | [1]                           | 400    | bad_request        |
      | POST   | /v1/completions      | none    | deep                          | 400    | bad_request        |
      | POST   | /v1/completions      | none    | {"prompt": "x"}               | 400    | bad_request        |
      | POST   | /v1/completions      | none    | {"model": 5}                  | 400    | bad_request        |
      | POST   | /v1/completions      | none    | {"model": ["refill-0@1"]}     | 400    | bad_request        |
      | POST   | /v1/completions      | none    | {"model": ""}                 | 400    | bad_request        |
      | POST   | /v1/completions      | none    | {"model": "reminders", "n": NaN} | 400 | bad_request        |
      | POST   | /v1/chat/completions | none    | {"model": "reminders", "stream": "yes"} | 400 | bad_request |
      | POST   | /v1/chat/completions | none    | {"model": "reminders", "stream": 1} | 400 | bad_request     |
      | POST   | /v1/completions      | none    | {"model": "nobody@1"}         | 404    | unknown_model      |
      | POST   | /v1/completions      | none    | {"model": "refill-0"}         | 404    | unknown_model      |
      | POST   | /v1/completions      | none    | too large                     | 413    | body_too_large     |
      | POST   | /orders/17           | none    | too large                     | 413    | body_too_large     |
      | POST   | /v1/completions      | none    | too large, in chunks          | 413    | body_too_large     |

    Examples: rules that require a key
      | method | path                 | headers                  | body                   | status | code         |
      | POST   | /orders/signed/17    | none                     | nothing                | 400    | key_required |
      | POST   | /orders/x/../signed  | none                     | nothing                | 400    | key_required |
      | POST   | /orders//signed/17   | none                     | nothing                | 400    | key_required |
      | POST   | /orders/%73igned/17  | none                     | nothing                | 400    | key_required |
      | POST   | /v1/completions      | none                     | {"model": "receipts"}  | 400    | key_required |

    Examples: paths and methods
      | method | path                 | headers | body    | status | code               |
      | GET    | /nowhere             | none    | nothing | 404    | unknown_path       |
      | GET    | /v1/embeddings       | none    | nothing | 404    | unknown_path       |
      | GET    | /ordersome           | none    | nothing | 404    | unknown_path       |
      | GET    | /v1/models/nobody@1  | none    | nothing | 404    | unknown_model      |
      | GET    | /v1/completions      | none    | nothing | 405    | method_not_allowed |
      | DELETE | /v1/models           | none    | nothing | 405    | method_not_allowed |

    Examples: headers
      | method | path       | headers                        | body    | status | code        |
      | POST   | /orders/17 | X-Deadline-S: soon             | nothing | 400    | bad_request |
      | POST   | /orders/17 | X-Deadline-S: nan              | nothing | 400    | bad_request |
      | POST   | /orders/17 | X-Deadline-S: 0                | nothing | 400    | bad_request |
      | POST   | /orders/17 | X-Request-Timeout-Ms: -5       | nothing | 400    | bad_request |
      | POST   | /orders/17 | Grpc-Timeout: 5                | nothing | 400    | bad_request |
      | POST   | /orders/17 | X-Non-Idempotent: perhaps      | nothing | 400    | bad_request |
      | POST   | /orders/17 | Authorization: Bearer nonsense | nothing | 401    | unauthenticated |
      | POST   | /orders/17 | Authorization: Basic abc       | nothing | 401    | unauthenticated |

    Examples: what belongs to another team looks as if it did not exist
      | method | path                | headers | body                  | status | code          |
      | POST   | /v1/completions     | none    | {"model": "tariff@1"} | 404    | unknown_model |
      | POST   | /v1/completions     | none    | {"model": "dues"}     | 404    | unknown_model |
      | GET    | /v1/models/tariff@1 | none    | nothing               | 404    | unknown_model |
      | GET    | /v1/models/dues     | none    | nothing               | 404    | unknown_model |
      | POST   | /invoices/1         | none    | nothing               | 404    | unknown_path  |

  Scenario: What is not allowed is answered with what is
    When the counter sends DELETE "/v1/models" with none and body nothing
    Then the header "allow" is "GET, HEAD, OPTIONS"
    When the counter sends OPTIONS "/v1/completions" with none and body nothing
    Then the status is 204
    And the header "allow" is "POST, OPTIONS"
    When the counter sends HEAD "/v1/models" with none and body nothing
    Then the status is 200
    And the body is empty

  Scenario Outline: A team lists its own models only
    When the key of <key> lists the models
    Then the list <has> "<name>"

    Examples:
      | key           | has     | name       |
      | counter       | has     | refill-0@1 |
      | counter       | has     | reminders  |
      | counter       | has not | tariff@1   |
      | counter       | has not | dues       |
      | port          | has     | tariff@1   |
      | port          | has     | dues       |
      | port          | has not | reminders  |
      | administrator | has     | dues       |
      | administrator | has     | reminders  |

  Scenario Outline: A call of a plain service is passed on as it was written
    When the counter sends <method> "<path>" with <headers> and body <body>
    Then the status is 201
    And the service got "<method>" "<target>" "<query>"
    And the header "x-stock" is "12"

    Examples:
      | method  | path             | headers | body | target           | query |
      | GET     | /orders/17       | none    | nothing | /orders/17    |       |
      | PUT     | /orders?a=1&a=2  | none    | two  | /orders          | a=1&a=2 |
      | POST    | /orders/x%20y?q=%C3%A9%26 | none | two | /orders/x%20y | q=%C3%A9%26 |
      | PATCH   | /orders/17       | none    | two  | /orders/17       |       |
      | OPTIONS | /orders/17       | none    | nothing | /orders/17    |       |

  Scenario: An encoded separator stays encoded on the way to a service
    A counter looks up the order "a/b?c" and is shown another order. The
    daemon passed the decoded path on, so the service saw the order "a", a
    part "b" of it and a query.

    When the counter sends GET "/orders/a%2Fb%3Fc" with none and body nothing
    Then the service got "GET" "/orders/a%2Fb%3Fc" ""

  Scenario: A cookie given to one caller is not shown in the name of the next
    A port cashier's call reaches a service with the cookie that the service
    gave to a store counter a moment before. Both calls went over the daemon's
    one client, whose cookie jar kept and sent what the service had set.

    When the counter sends POST "/orders/1" with none and body one
    Then the header "set-cookie" is "seen=counter; Path=/"
    When the counter sends POST "/orders/2" with none and body two
    Then the service got no header "cookie"

  Scenario: Compression that no caller asked for is not asked of a service
    A caller without an Accept-Encoding gets an answer that it cannot read:
    the HTTP library of the daemon asked for compression on its own account.

    When the counter sends GET "/orders/1" with Accept-Encoding: absent and body nothing
    Then the service got the header "accept-encoding" as "identity"

  Scenario Outline: Headers of one connection stop at the daemon
    When the counter sends POST "/orders/1" with <sent> and body one
    Then the service got no header "<name>"

    Examples:
      | sent                                | name          |
      | X-Note: none                        | authorization |
      | Connection: X-Hop; X-Hop: here      | x-hop         |
      | Proxy-Authorization: Basic abc      | proxy-authorization |
      | TE: trailers                        | te            |

  Scenario: A longer path prefix wins
    When the counter sends GET "/orders/returns/5" with none and body nothing
    Then the status is 503
    And the error code is "connect_failed" and says "not_run"
    And the header "retry-after" is a whole number of at least 1

  Scenario: The caller's name of its request comes back, beside the daemon's own
    When the counter sends POST "/orders/1" with X-Request-Id: till-4.77 and body one
    Then the header "x-request-id" is "till-4.77"
    And the header "x-knapweedbridge-id" is the id that the service got
    When the counter sends GET "/nowhere" with X-Request-Id: till-4.78 and body nothing
    Then the header "x-request-id" is "till-4.78"

  Scenario Outline: Deadlines and priorities by header
    When the headers "<headers>" are read
    Then the time is <within> s, the priority "<priority>" and non-idempotent <flag>

    Examples:
      | headers                                      | within | priority    | flag |
      | none                                         | 60     |             | no   |
      | X-Deadline-S: 2.5                            | 2.5    |             | no   |
      | X-Request-Timeout-Ms: 1500                   | 1.5    |             | no   |
      | Grpc-Timeout: 250m                           | 0.25   |             | no   |
      | Grpc-Timeout: 1M                             | 60     |             | no   |
      | X-Deadline-S: 9; X-Request-Timeout-Ms: 1500  | 1.5    |             | no   |
      | X-Deadline-S: 99999                          | 3600   |             | no   |
      | Priority: u=0                                | 60     | interactive | no   |
      | Priority: u=2, i                             | 60     | interactive | no   |
      | Priority: i, u=3                             | 60     | normal      | no   |
      | Priority: u=7                                | 60     | batch       | no   |
      | Priority: u=9                                | 60     |             | no   |
      | Priority: urgent                             | 60     |             | no   |
      | X-Non-Idempotent: ?1                         | 60     |             | yes  |
      | X-Non-Idempotent: true                       | 60     |             | yes  |
      | X-Non-Idempotent: ?0                         | 60     |             | no   |

  Scenario Outline: Retry-After is in whole seconds, never too early
    Then <seconds> s are told as "<told>"

    Examples:
      | seconds | told |
      | 0       | 1    |
      | 0.2     | 1    |
      | 1.0     | 1    |
      | 1.4     | 2    |
      | 59.01   | 60   |
