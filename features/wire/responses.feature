Feature: What endpoints answer is read, or counts as broken, as before
  The bytes go to the client over a socket, and to h11, which read them before. h11
  takes a folded line, and chunks where a length is told too; both count as broken
  since httptools reads heads.

  Scenario Outline: <what>, and then it <end>
    Guards against cut answers that look whole, answers of other calls, and connections
    that are used again with bytes on them.

    When an endpoint answers with <what>, whole and in pieces, and then <end>
    Then each time the connection is found <kept>
    And h11 alone finds it <by_h11>, and reads the same where both take it

    Examples:
      | what                     | end      | kept   | by_h11 |
      | a length                 | stays    | kept   | kept   |
      | chunks                   | stays    | kept   | kept   |
      | no body                  | stays    | kept   | kept   |
      | no reason                | stays    | kept   | kept   |
      | HTTP/1.0                 | stays    | closed | closed |
      | a close                  | stays    | closed | closed |
      | an early hint            | stays    | kept   | kept   |
      | another's first          | stays    | kept   | kept   |
      | another's alone          | stays    | waits  | waits  |
      | bytes after the end      | stays    | closed | closed |
      | a line end after the end | stays    | closed | closed |
      | no length                | stays    | waits  | waits  |
      | a body that is cut       | stays    | waits  | waits  |
      | a last chunk that is cut | stays    | waits  | waits  |
      | a length and chunks      | stays    | broken | kept   |
      | two lengths              | stays    | broken | broken |
      | another coding           | stays    | broken | broken |
      | a chunk without a length | stays    | broken | broken |
      | a null in a value        | stays    | broken | broken |
      | a bad name               | stays    | broken | broken |
      | a folded line            | stays    | broken | kept   |
      | a status of two digits   | stays    | broken | broken |
      | a change of protocol     | stays    | broken | broken |
      | no HTTP                  | stays    | broken | broken |
      | a head without an end    | stays    | broken | broken |
      | no length                | ends     | closed | closed |
      | another's alone          | ends     | broken | broken |
      | a body that is cut       | ends     | broken | broken |
      | chunks that are cut      | ends     | broken | broken |
      | a last chunk that is cut | ends     | broken | broken |
      | a head that is cut       | ends     | broken | broken |
      | nothing                  | ends     | broken | broken |
      | no length                | is reset | broken | broken |
      | a body that is cut       | is reset | broken | broken |
      | chunks that are cut      | is reset | broken | broken |
      | nothing                  | is reset | broken | broken |

  Scenario: A call whose time is over is not sent
    Guards against calls that run at an endpoint though nobody waits for them: a write
    to an open connection gives the event loop no turn in which they would be cancelled.

    When a call is to be sent whose time is over, on an open connection
    Then it does not reach the endpoint

  Scenario: A header that would end its line is not written
    Guards against a value, of an event or of the store, that writes headers of its own.

    When a request has a header value with a line end
    Then it counts as not sent, and nothing reaches the endpoint
