Feature: What is held for clients, without a network
  How a machine is divided, which connection and which body give way, and how bodies of
  tiny chunks are decoded.

  Scenario Outline: A machine of <memory> MB with <descriptors> descriptors, <files> for files
    Guards against limits that leave nothing to endpoints, the store and peers.

    Given a machine of <memory> MB with <descriptors> descriptors, <files> of them for files
    Then <held> MB are for bodies and responses, and <connections> connections for callers
    And a quarter of the sockets or more is left to the store and to peers that proved themselves, or to tunnels

    Examples:
      | memory | descriptors | files | held  | connections |
      | 300    | 4100        | 200   | 94.4  | 600         |
      | 200    | 4100        | 200   | 54.4  | 345         |
      | 192    | 500         | 200   | 51.2  | 150         |
      | 160    | 4100        | 200   | 38.4  | 244         |
      | 64     | 1024        | 64    | 6.4   | 40          |
      | 8000   | 1024        | 64    | 3174.4 | 480        |
      | 8000   | 100         | 200   | 3174.4 | 1          |

  Scenario Outline: A new connection where three are open: <story>
    Guards against a crowd that takes all connections, and against cutting served requests.

    Given a limit of 3 connections
    And connections that are <states>
    When <seconds> s later one more comes
    Then <chosen> gives way

    Examples:
      | story                         | states                       | seconds | chosen |
      | the longest idle              | serving, idle, idle          | 0.1     | 2      |
      | idle before unfinished        | receiving, serving, idle     | 0.1     | 3      |
      | an unfinished request         | serving, receiving, serving  | 0.1     | 2      |
      | a caller that reads nothing   | serving, serving, blocked    | 1.5     | 3      |
      | a caller that pauses          | serving, serving, blocked    | 0.5     | none   |
      | all are served                | serving, serving, serving    | 60      | none   |

  Scenario: A connection that was chosen is not chosen again, and counts no more
    Given a limit of 3 connections
    And connections that are idle, idle, serving
    When 1 s later one more comes
    Then 1 gives way
    When 1 s later one more comes
    Then there is room

  Scenario Outline: Bodies beyond the memory for them: <story>
    Guards against bodies that are held before they are counted.

    Given a budget of 1000 kB for callers, of which complete requests hold <kept> kB
    And bodies that are being received: <bodies>
    When <sender> sends <size> kB more, <seconds> s later
    Then <evicted> give way, and the body is <outcome>

    Examples:
      | story                        | kept | bodies                     | sender | size | seconds | evicted | outcome  |
      | there is room                | 0    | a 50                       | b      | 50   | 0       | none    | received |
      | the largest gives way        | 0    | a 60, b 130                | c      | 70   | 0       | b       | received |
      | the sender that holds most   | 0    | a 80, a 80, b 85           | c      | 20   | 0       | a       | received |
      | itself, if it holds most     | 0    | a 60, b 60                 | c      | 200  | 0       | c       | refused  |
      | one that has stalled         | 0    | a 60, b 130                | c      | 140  | 3       | b       | received |
      | small beside complete ones   | 850  | a 60                       | b      | 10   | 0       | none    | received |
      | large beside complete ones   | 700  | a 10                       | b      | 90   | 0       | b       | refused  |
      | small ones displace large    | 800  | a 60, b 20                 | c      | 25   | 0       | a       | received |
      | too large beside another     | 0    | a 10                       | b      | 600  | 0       | b       | refused  |

  Scenario: A body that gave way receives nothing more
    Guards against the reader that goes on until it notices.

    Given a budget of 1000 kB for callers, of which complete requests hold 0 kB
    And bodies that are being received: a 240
    When b sends 20 kB more, 0 s later
    Then a give way, and the body is received
    And a receives nothing more
    And nothing is held when all have ended

  Scenario: A body beside which nothing is held may take the whole budget
    Guards against bodies inside the limits that a small machine refuses each time.

    Given a budget of 1000 kB for callers, of which complete requests hold 0 kB
    Then an announced body of 500 kB is received
    And an announced body of 501 kB is refused
    And a body of 500 kB that comes alone is received

  Scenario Outline: An announced body is refused before it is read: <announced> kB beside <kept> kB
    Guards against reading what cannot be served.

    Given a budget of 1000 kB for callers, of which complete requests hold <kept> kB
    And bodies that are being received: a 50
    Then an announced body of <announced> kB is <outcome>

    Examples:
      | announced | kept | outcome  |
      | 60        | 0    | received |
      | 400       | 0    | received |
      | 500       | 0    | received |
      | 501       | 0    | refused  |
      | 401       | 1    | refused  |
      | 399       | 1    | received |
      | 60        | 870  | received |
      | 60        | 890  | refused  |
      | 100       | 700  | refused  |

  Scenario: Chunked bodies are decoded in bounded steps
    Guards against an event loop that is held by chunks of a few bytes.

    Then any chunked body is the same in steps as at once, split anywhere
    And a step decodes 512 chunks at most

  Scenario: Chunk extensions are bounded over a whole body
    Guards against framing without end around a body within the limits.

    Then a body with 64 kB of chunk extensions is decoded, and one with more is invalid

  Scenario: Eight bodies of tiny chunks take turns
    Guards against bodies that are all begun and none of them ended.

    Then the ninth body of tiny chunks is refused until one of the others ends

  Scenario Outline: Connections to endpoints within a limit of 2: <story>
    Guards against requests that use up the descriptors by their connections.

    Given a pool of 2 connections
    And <lent> connections in use and <idle> idle
    When one more is asked for, and one is given back after <seconds> s
    Then it is <outcome>, and at most 2 were open

    Examples:
      | story                  | lent | idle | seconds | outcome |
      | an idle one is closed  | 1    | 1    | 60      | opened  |
      | it waits for one       | 2    | 0    | 0.2     | opened  |
      | all stay in use        | 2    | 0    | 60      | refused |
