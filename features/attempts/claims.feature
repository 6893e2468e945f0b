Feature: A non-idempotent request runs at most once

  Scenario Outline: A repeat with the same idempotency key
    A client gets no answer in time and repeats its request through whichever host the
    load balancer chooses. Each daemon alone sees only one request. Run twice, it would
    bill the customer twice.

    Given three daemons and a store that is "<store>"
    When a request for a receipt is sent through host-0
    And its caller repeats it through "<host>" <when>
    Then the first gets "<first>" and the repeat "<repeat>", and it ran <runs> times

    Examples:
      | store          | host   | when                                    | first      | repeat              | runs |
      | up             | host-0 | at the same time                        | the answer | repeated            | 1    |
      | up             | host-1 | at the same time                        | the answer | repeated            | 1    |
      | up             | host-2 | at the same time                        | the answer | repeated            | 1    |
      | up             | host-1 | while it runs                           | the answer | repeated            | 1    |
      | up             | host-0 | after the answer                        | the answer | the recorded answer | 1    |
      | up             | host-1 | after the answer                        | the answer | the recorded answer | 1    |
      | up             | host-1 | with another body after the answer      | the answer | key_reused          | 1    |
      | up             | host-1 | after host-0 died before it dispatched  | nothing    | first_unknown       | 0    |
      | up             | host-1 | after host-0 died after it dispatched   | nothing    | first_unknown       | 1    |
      | up             | host-2 | after host-0 died after it dispatched   | nothing    | first_unknown       | 1    |
      | down           | host-1 | at the same time                        | store_down | store_down          | 0    |
      | down           | host-1 | after the store came back               | store_down | the answer          | 1    |
      | slow           | host-1 | at the same time                        | the answer | store_down          | 1    |
      | slow           | host-1 | after the answer                        | the answer | the recorded answer | 1    |
      | losing replies | host-1 | at the same time                        | the answer | repeated            | 1    |
      | losing replies | host-1 | after the answer                        | the answer | the recorded answer | 1    |
      | losing replies | host-1 | after host-0 died after it dispatched   | nothing    | first_unknown       | 1    |
      | writing late   | host-1 | after the store came back               | store_down | the answer          | 1    |

  Scenario: At most once holds in any order of repeats, kills and store faults
    Given three daemons and a store that is "up"
    When 120 histories of repeats, kills and faults of the store are run
    Then no key ran twice, and nothing reported as not run had run

  Scenario: Many claims share a write
    Given 20 receipts a second arrive at each of three daemons for 5 seconds
    Then all ran, by at most 5.01 writes a second
