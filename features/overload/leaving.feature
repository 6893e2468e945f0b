Feature: Endpoints and daemons that leave
  A leaving endpoint gets no new work within 3 s of the first signal, and a daemon that
  is stopped cuts no stream before its timeout.

  Scenario Outline: An engine leaves while the list lags by 30 seconds (<sign>)
    A request is refused, or fails, on an engine that is about to stop. The engine had
    announced it, but the daemons relied on the platform's list, which showed it only
    30 s later.

    When an engine leaves by "<sign>" with "<daemons>"
    Then the engine got its last request <when>
    And <answered> requests were answered

    Examples:
      | sign     | daemons         | when                 | answered |
      | report   | the list alone  | after more than 25 s | all      |
      | refusal  | the list alone  | after more than 25 s | some     |
      | operator | the list alone  | after more than 25 s | all      |
      | report   | signals         | within 3 s           | all      |
      | refusal  | signals         | within 3 s           | all      |
      | operator | signals         | within 3 s           | all      |

  Scenario: An engine that stays after all is used again
    An engine is told to leave, and the order is withdrawn. Without an expiry the daemons
    would never use it again.

    Given a pool of 2 daemons and 1 engines
    When the engine announces that it leaves, and 5 seconds later that it stays
    Then a request is answered within 3 seconds more

  Scenario: One daemon's broken path does not take an endpoint from the others
    One daemon cannot reach an engine that all others reach. If it announced that the
    engine leaves, the engine would stand idle.

    Given a pool of 2 daemons and 1 engines
    When an attempt of "host-0" ends as "connect_failed"
    Then no daemon lists the engine as leaving

  Scenario Outline: A web server that is stopped <case>
    A stream breaks when its host is stopped, and the log fills with tracebacks: the
    web server's task was cancelled instead of being shut down.

    When a web server with a stream of <stream_s> s is <case>
    Then the stream is "<stream>"
    And no errors were logged

    Examples:
      | case                            | stream_s | stream |
      | told to stop, with time enough  | 0.4      | whole  |
      | told to stop, with little time  | 30       | cut    |
      | cancelled                       | 30       | cut    |

  Scenario: A draining daemon fails its health check, and serves what still arrives
    A load balancer keeps sending requests to a host that is about to end. They are lost
    if the host stops serving before its health check fails.

    Given a server that drains
    Then its health is 200 before, and 503 once it drains
    And while it drains a request is served, and its connection is closed

  Scenario: A second signal ends the drain at once and counts what it cut
    Given a server that drains with an open stream
    When a second signal arrives
    Then the stream is "cut"
    And one cut request is counted
