Feature: Rules that decide which requests may never be repeated

  Scenario Outline: The most specific rule decides
    Given the service "receipts" at /receipts and the rules
      | name  | team   | service  | application | methods | path       | non_idempotent | without_key |
      | all   |        |          |             |         |            |                | run         |
      | team  | berths |          |             |         |            | yes            | refuse      |
      | reads |        | receipts |             | GET     |            | yes            | run         |
      | whole |        | receipts |             |         |            |                | refuse_when_store_down |
      | note  | berths | receipts |             |         | /notes     | no             | run         |
      | sign  |        | receipts |             |         | /notes/new |                | refuse      |
      | put   |        | receipts |             | PUT     | /notes/new | no             | run         |
      | apply |        |          | pilotage    |         |            |                | refuse      |
    When the rules are applied to "<call>"
    Then it may run only once: <once>, and without a key: "<without>"

    Examples:
      | call                           | once | without                |
      | POST /receipts/17              | yes  | refuse_when_store_down |
      | GET /receipts/17               | yes  | run                    |
      | HEAD /receipts/17              | no   | run                    |
      | POST /receipts/notes           | no   | run                    |
      | POST /receipts/notesome        | yes  | refuse_when_store_down |
      | POST /receipts/notes/../new    | yes  | refuse_when_store_down |
      | POST /receipts//notes/new      | yes  | refuse                 |
      | DELETE /receipts/notes/new/17  | yes  | refuse                 |
      | PUT /receipts/notes/new        | no   | run                    |
      | POST /invoices/17              | yes  | refuse                 |
      | POST /other/17                 | no   | run                    |
      | model pilotage                 | yes  | refuse                 |
      | model tariff@1                 | yes  | refuse                 |

  Scenario Outline: A receipt without a key, with the store up and down
    The key-value service is down, and a request without an idempotency key runs although
    the operators allow only requests that can be recorded. A request without a key never
    queried the store.

    Given three daemons and a store that is "<store>"
    When a request without a key is sent through host-0 under "<without>"
    Then it gets "<told>" within <within> s, and it ran <runs> times

    Examples:
      | store        | without                | told         | within | runs |
      | up           | run                    | the answer   | 2      | 1    |
      | down         | run                    | the answer   | 2      | 1    |
      | up           | refuse                 | key_required | 0      | 0    |
      | down         | refuse                 | key_required | 0      | 0    |
      | up           | refuse_when_store_down | the answer   | 2      | 1    |
      | slow         | refuse_when_store_down | the answer   | 3      | 1    |
      | down         | refuse_when_store_down | store_down   | 2.5    | 0    |
      | writing late | refuse_when_store_down | store_down   | 2.5    | 0    |

  Scenario: Two equal requests without a key are distinct
    Given three daemons and a store that is "up"
    When two equal requests without a key arrive under "refuse_when_store_down"
    Then both are answered, and both ran
