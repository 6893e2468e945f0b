Feature: Numbers that callers, endpoints and the store state
  Messages between daemons and the log hold whole numbers of 64 bits.

  Scenario: A call with the greatest token count ends no daemon
    Guards against a number that fits into no message between daemons and ends a process.

    Given the whole path with 3 daemons
    When "shop" with 4000 tokens a second sends 300,18446744073709551615 tokens to each daemon
    Then each of these calls got 429 with a Retry-After

  Scenario: A call beyond what its quota can ever hold doesn't shut out its account
    Guards against one large call after which a daemon refuses all calls of the account.

    Given the whole path with 3 daemons
    When "shop" with 4000 tokens a second sends 300,10000000 tokens to each daemon
    Then each of these calls got 429 with a Retry-After
    And a call of "shop" with 300,100 tokens is answered by each daemon

  Scenario Outline: What a caller states is kept to what daemons can hold: <header> <text>
    Guards against numbers of callers that leave the process in a form that cannot be sent.

    When a call states "<header>" as "<text>"
    Then it is read as <values>

    Examples:
      | header        | text                        | values            |
      | Token-Counts  | 1460,80                     | 1460 and 80       |
      | Token-Counts  | 300,18446744073709551615    | 300 and the most  |
      | Token-Counts  | 300,5000 digits             | 300 and the most  |
      | Token-Counts  | 5000 zeros and a 7,80       | 7 and 80          |
      | Token-Counts  | -1,80                       | unreadable        |
      | Token-Counts  | 1e3,80                      | unreadable        |
      | Prompt-Prefix | 5c:99999999999999999999     | the most          |
      | Prompt-Prefix | 5c:-4                       | unreadable        |
      | Deadline-Ms   | 15000                       | 15.0 s            |
      | Deadline-Ms   | 1e300                       | the most          |

  Scenario Outline: A report with a number beyond all bounds is no report: <field> <number>
    Guards against an endpoint's number that ends the task which orders the endpoint.

    When an engine reports <field> as <number>
    Then the report is unreadable

    Examples:
      | field   | number                 |
      | seq     | 1e999                  |
      | seq     | 1e300                  |
      | seq     | 99999999999999999999   |
      | seq     | -1                     |
      | kv_used | 1e999                  |
      | running | 18446744073709551615   |
      | coming  | ["m/a@99999999999999999999"] |

  Scenario Outline: A number of the store beyond all bounds is no answer: <what> <number>
    Guards against an answer of the store that ends the task which asked.

    Given a store that states <what> as <number>
    Then each call to it fails as one without an answer

    Examples:
      | what        | number               |
      | Store-Era   | 5000 digits          |
      | Store-Era   | 99999999999          |
      | revision    | 1e999                |
      | revision    | 18446744073709551615 |
      | revision    | "much"               |

  Scenario Outline: Event ids of any length are ordered: <event> after <last>
    Guards against an id of thousands of digits that ends the call which resumes a stream.

    When a stream is resumed after event <last> and event <event> arrives
    Then it is passed on: <passed>

    Examples:
      | last        | event       | passed |
      | 12          | 13          | yes    |
      | 12          | 9           | no     |
      | 012         | 12          | no     |
      | 5000 digits | 13          | no     |
      | 12          | 5000 digits | yes    |

  Scenario: A message that cannot be encoded is dropped, and the next one arrives
    Guards against a message that ends the stream to a peer, and with it the daemon.

    Given two daemons that send each other messages
    When one sends a number of 65 bits and then a number of 64 bits
    Then the other one receives the second, and the first is counted
