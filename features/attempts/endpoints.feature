Feature: What an endpoint's response proves

  Scenario Outline: A status is an answer, a proof, or neither
    A caller asks for an invoice that does not exist, and gets "retry later" three times
    instead of "404": the service's own answer was taken for a refusal to run.

    When a "<kind>" answers <status> with the body "<body>"
    Then the attempt ends as "<outcome>"

    Examples:
      | kind   | status | body                                 | outcome                 |
      | plain  | 200    | ok                                   | Answer 200              |
      | plain  | 404    | no such invoice                      | Answer 404              |
      | plain  | 409    | paid already                         | Answer 409              |
      | plain  | 429    | slower                               | Answer 429              |
      | plain  | 500    | failed                               | Answer 500              |
      | plain  | 502    | gateway                              | Unknown endpoint_failed |
      | plain  | 503    | busy                                 | Unknown endpoint_failed |
      | plain  | 504    | gateway                              | Unknown endpoint_failed |
      | engine | 200    | {}                                   | Answer 200              |
      | engine | 400    | too long                             | Answer 400              |
      | engine | 404    | {}                                   | NotRun not_loaded       |
      | engine | 409    | {}                                   | Answer 409              |
      | engine | 429    | {}                                   | NotRun endpoint_refused |
      | engine | 500    | crashed                              | Unknown endpoint_failed |
      | engine | 503    | gateway                              | Unknown endpoint_failed |
      | engine | 503    | {"error": {"code": "overloaded"}}    | NotRun endpoint_refused |
      | engine | 503    | {"error": {"code": "what"}}          | Unknown endpoint_failed |

  Scenario Outline: A number that is no status is no answer: <method> over <client> gets <status>
    Guards against callers who get the bytes of a server in trouble as an answer.

    When an endpoint answers a <method> over <client> with the status line number <status>
    Then the attempt ends as "<outcome>"

    Examples:
      | method | client  | status | outcome               |
      | POST   | aiohttp | 000    | Unknown stream_broken |
      | POST   | aiohttp | 099    | Unknown stream_broken |
      | POST   | aiohttp | 101    | Unknown stream_broken |
      | POST   | aiohttp | 200    | Answer 200            |
      | POST   | aiohttp | 599    | Answer 599            |
      | POST   | aiohttp | 600    | Answer 600            |
      | POST   | httpx   | 000    | Unknown stream_broken |
      | POST   | httpx   | 099    | Unknown stream_broken |
      | POST   | httpx   | 101    | Unknown stream_broken |
      | GET    | aiohttp | 000    | Unknown stream_broken |
      | GET    | aiohttp | 099    | Unknown stream_broken |
      | GET    | aiohttp | 600    | Answer 600            |

  Scenario Outline: "Not run" is proved by no byte having been written
    The server closes a pooled connection. If it was closed before the request was
    written, the request did not run; if after, it may have. The library raises nearly
    the same error for both.

    Given a server that does "<script>" on each connection and closes it
    When <count> attempts are made, each after the connection was closed
    Then the attempt ends as "<outcomes>"

    Examples:
      | script | count | outcomes                                     |
      | answer | 2     | Answer 200, Answer 200                       |
      | read   | 2     | Unknown stream_broken, Unknown stream_broken |
      | half   | 1     | Unknown stream_broken                        |

  Scenario: A refusal of an earlier call comes late, on a connection that is kept
    Guards against calls that run twice by a late second refusal, which names no call.

    Given a server that does "answer late" on each connection and closes it
    When 2 calls that may run once are made to an engine one after the other
    Then the attempt ends as "Answer 200, Answer 200"

  Scenario: A refused connection proves that nothing ran
    Given a port on which nothing listens
    When 1 attempts are made, each after the connection was closed
    Then the attempt ends as "NotRun connect_failed"

  Scenario Outline: The tokens delivered are counted though the stream breaks
    A streamed answer breaks after some tokens, and the caller gets the text twice: the
    count of delivered tokens was lost with the stream, and the request was retried as if
    nothing had been delivered.

    When a stream of <events> events breaks within the next, in chunks of <size>
    Then the count delivered is <events>, and the caller has that many whole events

    Examples:
      | events | size |
      | 0      | 7    |
      | 3      | 7    |
      | 3      | 1    |
      | 5      | 1000 |
