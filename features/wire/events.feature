Feature: Chunks of an engine's stream are split into complete events

  Scenario Outline: Any chunks of a stream after event <after>
    Guards against lost, duplicated or truncated events if a chunk is not exactly one event.

    Then for any stream and any chunks the events after <after> are those of the stream

    Examples:
      | after |
      | none  |
      | 3     |
