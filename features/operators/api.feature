Feature: The administration API refuses what is malformed
  Every answer is JSON with a stable code; nothing an operator sends makes the
  daemon fail.

  Scenario Outline: A malformed call is answered with what is allowed
    An operator's script sends a wrong body or parameter.
    The daemon raised, and the script saw an empty 500 with no word of why.
    The cause was that bodies were read without being checked.

    Given the example folder is in force
    When <method> <path> is sent with body <body>
    Then the answer is <status> with code "<code>" and a message holding "<message>"

    Examples:
      | method | path                             | body                                    | status | code            | message                    |
      | POST   | /v1/configuration                | no json                                 | 400    | bad_request     | no JSON                    |
      | POST   | /v1/configuration                | []                                      | 400    | bad_request     | must be a JSON object      |
      | POST   | /v1/configuration                | {}                                      | 400    | bad_request     | files: an object           |
      | POST   | /v1/configuration                | {"files": {}}                           | 400    | bad_request     | one file at least          |
      | POST   | /v1/configuration                | {"files": []}                           | 400    | bad_request     | files: an object           |
      | POST   | /v1/configuration                | {"files": {"a.ini": 7}}                 | 400    | bad_request     | a.ini: a text              |
      | POST   | /v1/configuration                | {"files": {"a": ""}, "based_on": "7"}   | 400    | bad_request     | based_on: '7'              |
      | POST   | /v1/configuration                | {"files": {"a": ""}, "based_on": true}  | 400    | bad_request     | based_on: True             |
      | POST   | /v1/configuration                | {"files": {"a": ""}, "based_in": 1}     | 400    | bad_request     | based_in: unknown; allowed |
      | POST   | /v1/rollback                     | {}                                      | 400    | bad_request     | generation: missing        |
      | POST   | /v1/rollback                     | {"generation": 900000}                  | 404    | not_found       | 900000 is not kept         |
      | POST   | /v1/drain                        | {}                                      | 400    | bad_request     | host: the name             |
      | POST   | /v1/drain                        | {"host": "host-9"}                      | 404    | not_found       | this is host-0             |
      | POST   | /v1/endpoints/draft-9/drain      | none                                    | 404    | not_found       | no endpoint draft-9        |
      | DELETE | /v1/endpoints/draft-9/drain      | none                                    | 404    | not_found       | no endpoint draft-9        |
      | POST   | /v1/endpoints/draft-0/drain?a=1  | none                                    | 400    | bad_request     | unknown parameter          |
      | GET    | /v1/adapters?limit=-1            | none                                    | 400    | bad_request     | limit: '-1'                |
      | GET    | /v1/adapters?limit=5000          | none                                    | 400    | bad_request     | from 0 to 1000             |
      | GET    | /v1/adapters?loaded=maybe        | none                                    | 400    | bad_request     | one of yes, no             |
      | GET    | /v1/timeline?since_us=now        | none                                    | 400    | bad_request     | since_us: 'now'            |
      | GET    | /v1/timeline?requests=1          | none                                    | 400    | bad_request     | unknown parameter          |
      | GET    | /v1/configuration?generation=x   | none                                    | 400    | bad_request     | generation: 'x'            |
      | GET    | /v1/nothing                      | none                                    | 404    | not_found       | Not Found                  |
      | PUT    | /v1/configuration                | none                                    | 405    | bad_request     | Method Not Allowed         |

  Scenario Outline: A key opens no more than it should
    Given the example folder is in force
    When <path> is asked with key "<key>"
    Then the answer is <status> with code "<code>" and a message holding "<message>"

    Examples:
      | path       | key                             | status | code            | message          |
      | /v1/status | caller-key-of-the-example       | 403    | forbidden       | key counter is a caller's |
      | /v1/status | no-such-key                     | 401    | unauthenticated | no such key      |

  Scenario: A body over the limit is refused
    Given the example folder is in force
    When a body over the limit is sent
    Then the answer is 413 with code "too_large" and a message holding "over 33554432 bytes"
