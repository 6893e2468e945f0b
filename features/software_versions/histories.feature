Feature: Whatever happens, a stream goes on at the version that began it

  Scenario: No random history joins a stream to another version
    Guards against streams of two versions, and against refusals without need.

    Then 20 random histories of "which version began a stream" break no promise

  Scenario: No random history joins a stream of hosts that were all lost
    Guards against the same where no host is left that knew the stream.

    Then 12 random histories of "which version began a stream of hosts that are lost" break no promise
