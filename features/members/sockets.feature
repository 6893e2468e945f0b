Feature: Connections between daemons

  Scenario Outline: A reader sees how the connection ended: <case>
    A reset that is reported as the end of the stream would look like an orderly close.
    Bytes received before the end must not be lost.

    Given a connection between two daemons
    When the sending end <does>
    Then the receiving end reads "<bytes>", and then <ends>

    Examples:
      | case                 | does                         | bytes | ends                |
      | an orderly close     | sends "abcd" and closes      | abcd  | EndOfStream         |
      | a half-close         | sends "abcd" and an end      | abcd  | EndOfStream         |
      | a reset              | sends "abcd" and resets      | abcd  | BrokenResourceError |
      | closed while reading | sees the receiving end close |       | ClosedResourceError |

  Scenario: A slow reader applies backpressure
    Without it a slow daemon would buffer everything that its peers send.

    Given a connection between two daemons
    When the sending end sends 64 MB that are not read
    Then the receiving end buffers less than 1 MB and the sending end is blocked
    And all data arrives once it is read

  Scenario: A connection accepted before serving starts is served
    A peer connects at the moment a daemon starts to listen.

    Given a connection between two daemons
    Then the connection was accepted before serving started and is served
