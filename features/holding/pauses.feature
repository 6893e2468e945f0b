Feature: Peers that pause their reading, and peers that are gone

  Scenario Outline: How long output may make no progress: <story>
    Guards against closing a connection whose reader pauses, and against keeping a lost one.

    When <segments> segments are unacknowledged, <waiting> bytes wait, and <retransmissions> retransmissions and <probes> probes have no answer
    Then the connection is closed after <timeout> ms

    Examples:
      | story                          | segments | waiting | retransmissions | probes | timeout |
      | all is acknowledged            | 0        | 0       | 0               | 0      | 2500    |
      | the reader has paused          | 0        | 9000    | 0               | 0      | 60000   |
      | a probe is on its way          | 0        | 9000    | 0               | 1      | 60000   |
      | a segment is on its way        | 3        | 0       | 0               | 0      | 60000   |
      | segments get no answer         | 3        | 0       | 2               | 0      | 2500    |
      | more is written to a lost peer | 3        | 9000    | 4               | 0      | 2500    |
      | the paused reader is lost      | 0        | 9000    | 0               | 2      | 2500    |

  Scenario Outline: A peer that pauses for <pause> s gets all that was written: <story>
    Guards against the kernel's timeout, which doesn't tell a closed window from a lost peer.

    When a peer that pauses for <pause> s is sent <count> events of 200 bytes, <story>
    Then it receives all of them

    Examples:
      | pause | count | story                           |
      | 4     | 57    | and nothing waits to be written |
      | 4     | 9000  | and the writer waits            |
      | 7     | 57    | and nothing waits to be written |

  Scenario: A peer that never reads again doesn't hold its connection for ever
    Guards against readers that take memory and a descriptor until the process ends.

    When a peer reads nothing for longer than a paused reader may, 2.0 s
    Then its connection is closed within 8 s
