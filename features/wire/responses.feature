Feature: Responses are parsed or rejected as by h11
  The bytes are sent to the HTTP client over a socket, and passed to h11, which the client
  used before. h11 accepts folded headers, and chunked bodies that also have a
  Content-Length; both count as broken since httptools parses the heads.

  Scenario Outline: <what>, and then the connection <end>
    Guards against truncated responses that look complete, responses to other calls, and
    connections that are reused with unread bytes.

    When an endpoint responds with <what>, at once and in pieces, and then <end>
    Then the connection is always <outcome>
    And with h11 it is <by_h11>, and the body is the same if both accept it

    Examples:
      | what                          | end        | outcome | by_h11  |
      | a Content-Length              | stays open | kept    | kept    |
      | a chunked body                | stays open | kept    | kept    |
      | no body                       | stays open | kept    | kept    |
      | no reason phrase              | stays open | kept    | kept    |
      | HTTP/1.0                      | stays open | closed  | closed  |
      | Connection: close             | stays open | closed  | closed  |
      | an early hint                 | stays open | kept    | kept    |
      | another call's response first | stays open | kept    | kept    |
      | only another call's response  | stays open | pending | pending |
      | bytes after the end           | stays open | closed  | closed  |
      | a line break after the end    | stays open | closed  | closed  |
      | no Content-Length             | stays open | pending | pending |
      | a truncated body              | stays open | pending | pending |
      | a truncated last chunk        | stays open | pending | pending |
      | Content-Length and chunked    | stays open | broken  | kept    |
      | two Content-Lengths           | stays open | broken  | broken  |
      | an unsupported coding         | stays open | broken  | broken  |
      | a chunk without a size        | stays open | broken  | broken  |
      | a NUL in a value              | stays open | broken  | broken  |
      | an invalid header name        | stays open | broken  | broken  |
      | a folded header               | stays open | broken  | kept    |
      | a status of two digits        | stays open | broken  | broken  |
      | the status 000                | stays open | broken  | broken  |
      | the status 099                | stays open | broken  | broken  |
      | a protocol switch             | stays open | broken  | broken  |
      | not HTTP                      | stays open | broken  | broken  |
      | an endless head               | stays open | broken  | broken  |
      | no Content-Length             | closes     | closed  | closed  |
      | only another call's response  | closes     | broken  | broken  |
      | a truncated body              | closes     | broken  | broken  |
      | truncated chunks              | closes     | broken  | broken  |
      | a truncated last chunk        | closes     | broken  | broken  |
      | a truncated head              | closes     | broken  | broken  |
      | nothing                       | closes     | broken  | broken  |
      | no Content-Length             | is reset   | broken  | broken  |
      | a truncated body              | is reset   | broken  | broken  |
      | truncated chunks              | is reset   | broken  | broken  |
      | nothing                       | is reset   | broken  | broken  |

  Scenario: A call that has timed out is not sent
    Guards against calls that run at an endpoint although nobody waits for them. A write
    to an open connection does not yield to the event loop, which would cancel them.

    When a call that has timed out is sent on an open connection
    Then it does not reach the endpoint

  Scenario: A header value with a line break is not written
    Guards against header injection by values of events or of the store.

    When a request has a header value with a line break
    Then the request is not sent and does not reach the endpoint
