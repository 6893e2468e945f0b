Feature: Whatever happens, a stream goes on at the version that began it

  Scenario: No random history joins a stream to another version
    Guards against streams of two versions, and against refusals without need.

    Then 20 random histories of "which version began a stream" break no promise
