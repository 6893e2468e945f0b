Feature: The small deployment of the quick start and the whole runs

  Scenario Outline: Its folder is without fault at any size
    The relay's benchmark ended at its start: with a single adapter the folder
    routed an application to a second one, which no section named.

    Given the example with <adapters> adapters
    When its folder is merged
    Then the folder has no fault

    Examples:
      | adapters |
      | 1        |
      | 2        |
      | 12       |
