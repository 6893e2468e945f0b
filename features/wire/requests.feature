Feature: Requests are parsed or rejected as by h11
  The bytes are sent to the HTTP server over a socket, and passed to h11, which the server
  used before. h11 accepts some requests that the server rejects. Two framings were always
  rejected; the others (a repeated Content-Length, control characters, folded headers, line
  ends without a carriage return, long heads that arrive at once) are rejected since
  httptools parses the heads.

  Scenario Outline: <what>
    Guards against requests that another parser would interpret differently, and against
    valid requests that are rejected or truncated.

    When a caller sends <what>, at once and in pieces
    Then the server always responds with <statuses>
    And h11 responds with <by_h11> and parses the same if both accept it

    Examples:
      | what                           | statuses | by_h11  |
      | a request                      | 200      | 200     |
      | two pipelined requests         | 200 200  | 200 200 |
      | a body with a length           | 200      | 200     |
      | a chunked body                 | 200      | 200     |
      | a chunked body with a trailer  | 200      | 200     |
      | a chunked body, then a request | 200 200  | 200 200 |
      | a custom method                | 200      | 200     |
      | an upgrade offer               | 200      | 200     |
      | non-ASCII bytes in a value     | 200      | 200     |
      | Connection: close              | 200      | 200     |
      | HTTP/1.0                       | 200      | 200     |
      | Expect: 100-continue           | 100 200  | 200     |
      | the same Content-Length twice  | 400      | 200     |
      | two Content-Lengths            | 400      | 400     |
      | Content-Length, then chunked   | 400      | 200     |
      | chunked, then Content-Length   | 400      | 200     |
      | a signed Content-Length        | 400      | 400     |
      | an unsupported coding          | 501      | 501     |
      | two transfer codings           | 400      | 501     |
      | a chunk without a size         | 400      | 400     |
      | a chunk size of 0x1            | 400      | 400     |
      | a chunk longer than its size   | 400      | 400     |
      | an invalid trailer             | 400      | 400     |
      | a NUL in a value               | 400      | 400     |
      | a carriage return in a value   | 400      | 400     |
      | a control character in a value | 400      | 200     |
      | an invalid header name         | 400      | 400     |
      | a space before the colon       | 400      | 400     |
      | an empty header name           | 400      | 400     |
      | a header without a colon       | 400      | 400     |
      | a folded header                | 400      | 200     |
      | a folded first header          | 400      | 400     |
      | line ends without a CR         | 400      | 200     |
      | no Host                        | 400      | 400     |
      | two Hosts                      | 400      | 400     |
      | two spaces in the first line   | 400      | 400     |
      | no HTTP version                | 400      | 400     |
      | a space in the target          | 400      | 400     |
      | an empty first line            | 400      | 400     |
      | not HTTP                       | 400      | 400     |
      | a head over the limit          | 431      | 200     |
      | a body over the limit          | 413      | 413     |
      | a chunked body over the limit  | 413      | 413     |
      | a partial head                 | 408      | none    |
      | a partial body                 | 408      | none    |

  Scenario: A truncated stream to an HTTP/1.0 caller does not look complete
    Guards against a truncated response without a length that looks like a complete one.

    When an HTTP/1.0 caller requests a stream that is truncated
    Then its connection is reset

  Scenario: A caller that does not read blocks the source of the response
    Guards against unlimited buffering of a response for a slow caller.

    When a caller does not read a long response, and then reads it
    Then the writer of the response waits until the caller reads

  Scenario Outline: A caller disconnects while its request runs: it <disconnects>
    Guards against requests that keep running for disconnected callers.

    When a caller <disconnects> while its request runs
    Then the request is cancelled within 0.3 s

    Examples:
      | disconnects        |
      | closes             |
      | resets             |
      | closes for writing |

  Scenario: Connections are closed during a shutdown
    Guards against a shutdown that waits for idle connections or truncates a response.

    When the server closes with one idle connection and one running request
    Then the idle connection is closed at once, and the other after its response
