Feature: Streams that are taken up

  Scenario Outline: A stream goes on elsewhere after <cause>
    Guards against first runs that go on beside the run that continues the stream.

    Given the whole path with 2 daemons
    When a stream is taken up at another engine after <cause>
    Then the first run has ended at most 0.4 s after the second began

    Examples:
      | cause                          |
      | its caller left for host-1     |
      | host-0 was killed              |
      | it broke within an event       |
      | it was silent before its first |
