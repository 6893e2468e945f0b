Feature: Endpoints and daemons that leave
  A leaving endpoint gets no new work within 3 s of the first sign, and a daemon
  that is stopped cuts nothing.

  Scenario Outline: An engine leaves while the list lags by 30 seconds (<sign>)
    A user's request is refused, or dies, on an engine that was about to stop. The
    engine had said so, but the daemons believed the platform's list, which showed
    it only half a minute later.

    When an engine leaves by "<sign>" with "<daemons>"
    Then the engine got its last request <when>
    And <answered> requests were answered

    Examples:
      | sign     | daemons         | when                 | answered |
      | report   | the list alone  | after more than 25 s | all      |
      | refusal  | the list alone  | after more than 25 s | some     |
      | operator | the list alone  | after more than 25 s | all      |
      | report   | signs           | within 3 s           | all      |
      | refusal  | signs           | within 3 s           | all      |
      | operator | signs           | within 3 s           | all      |

  Scenario: An engine that stays after all is used again
    An engine is asked to leave, and the order is taken back. The daemons would
    never use it again.

    Given a pool of 2 daemons and 1 engines
    When the engine says that it leaves, and 5 seconds later that it stays
    Then a request is answered within 3 seconds more

  Scenario: One daemon's broken path does not take an endpoint from the others
    A daemon cannot reach an engine that all others reach. Had it told them that
    the engine leaves, the engine would stand idle.

    Given a pool of 2 daemons and 1 engines
    When an attempt of "host-0" ends as "connect_failed"
    Then no daemon holds that the engine leaves

  Scenario Outline: A web server that is stopped <case>
    A user's stream breaks when its host is stopped, and the log fills with
    tracebacks: the web server was cancelled instead of told to stop.

    When a web server with a stream of <stream_s> s is <case>
    Then the stream is "<stream>"
    And nothing was written about errors

    Examples:
      | case                            | stream_s | stream |
      | told to stop, with time enough  | 0.4      | whole  |
      | told to stop, with little time  | 30       | cut    |
      | cancelled                       | 30       | cut    |

  Scenario: A draining daemon says so, and serves what still arrives
    A balancer goes on sending to a host that is about to end. Its health was the
    last to change, and what arrived in between was lost.

    Given a face that drains
    Then its health is 200 before, and 503 once it drains
    And while it drains a call is served, and its connection is closed

  Scenario: A second signal ends at once and says what it cut
    Given a face that drains with an open stream
    When a second signal arrives
    Then the stream is "cut"
    And one cut request is counted
