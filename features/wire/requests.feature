Feature: What callers send is read, or refused, as before
  The bytes go to a callers' face over a socket, and to h11, which read them before.
  h11 alone takes some that are refused: of these, two framings were refused before
  too; the others (a length twice, control characters, folded lines, line ends without a
  return, long heads that came at once) are refused since httptools reads heads.

  Scenario Outline: <what>
    Guards against requests that another reader would take for something else, and
    against requests that are refused or cut where they were served.

    When a caller sends <what>, whole and in pieces
    Then each time it is answered <answers>
    And h11 alone answers <by_h11>, and reads the same where both take it

    Examples:
      | what                       | answers | by_h11  |
      | a request                  | 200     | 200     |
      | two at once                | 200 200 | 200 200 |
      | a body                     | 200     | 200     |
      | chunks                     | 200     | 200     |
      | chunks with a trailer      | 200     | 200     |
      | chunks, then a request     | 200 200 | 200 200 |
      | a method of its own        | 200     | 200     |
      | an offered upgrade         | 200     | 200     |
      | bytes over 127 in a value  | 200     | 200     |
      | a close                    | 200     | 200     |
      | HTTP/1.0                   | 200     | 200     |
      | a wait for 100             | 100 200 | 200     |
      | a length twice             | 400     | 200     |
      | two lengths                | 400     | 400     |
      | a length and chunks        | 400     | 200     |
      | chunks and a length        | 400     | 200     |
      | a signed length            | 400     | 400     |
      | another coding             | 501     | 501     |
      | two codings                | 400     | 501     |
      | a chunk without a length   | 400     | 400     |
      | a chunk's length as 0x1    | 400     | 400     |
      | a chunk that is too long   | 400     | 400     |
      | a bad trailer              | 400     | 400     |
      | a null in a value          | 400     | 400     |
      | a return in a value        | 400     | 400     |
      | a control character        | 400     | 200     |
      | a bad name                 | 400     | 400     |
      | a space before the colon   | 400     | 400     |
      | no name                    | 400     | 400     |
      | no colon                   | 400     | 400     |
      | a folded line              | 400     | 200     |
      | a folded first line        | 400     | 400     |
      | line ends without a return | 400     | 200     |
      | no Host                    | 400     | 400     |
      | two Hosts                  | 400     | 400     |
      | two spaces                 | 400     | 400     |
      | no version                 | 400     | 400     |
      | a space in the target      | 400     | 400     |
      | an empty first line        | 400     | 400     |
      | no HTTP                    | 400     | 400     |
      | a head over the limit      | 431     | 200     |
      | a body over the limit      | 413     | 413     |
      | chunks over the limit      | 413     | 413     |
      | half a head                | 408     | none    |
      | half a body                | 408     | none    |

  Scenario: A stream to a caller of HTTP/1.0 that breaks off does not look whole
    Guards against an answer without a length whose cut looks like its end.

    When a caller of HTTP/1.0 asks for a stream that breaks off
    Then its connection is reset

  Scenario: A caller that does not read holds the answer's source
    Guards against an answer that is held in memory for a caller that reads slowly.

    When a caller reads nothing of a long answer, and then reads it
    Then meanwhile the answer's writer waits, and then it goes on

  Scenario Outline: A caller that leaves while its request runs: it <leaves>
    Guards against requests that go on for callers who are gone.

    When a caller <leaves> while its request runs
    Then the request is broken off within 0.3 s

    Examples:
      | leaves             |
      | closes             |
      | resets             |
      | ends what it sends |

  Scenario: Connections are closed while a daemon stops
    Guards against a stop that waits for idle connections, or that cuts an answer.

    When the face closes, with one idle connection and one request that runs
    Then the idle one is closed at once, and the other after its answer
