Feature: Chunks of an engine's stream are cut into whole events

  Scenario Outline: Any chunks of a stream after event <after>
    Guards against events that are lost, doubled or cut where a chunk is not one event.

    Then for any stream and any chunks the events after <after> are those of the whole

    Examples:
      | after |
      | none  |
      | 3     |
