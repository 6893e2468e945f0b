Feature: An endpoint that names a limit gets no more than that from all daemons together

  Scenario Outline: The log and the metrics tell the limit that <endpoint> names
    Guards against an endpoint's limit that no log line shows.

    Given the whole path
    When <endpoint> names a limit of 2.5 a second, and calls come until it names none
    Then the log tells the limit, its end, and what was known when calls were sent
    And the metrics count limits that were named and ended

    Examples:
      | endpoint |
      | desk-1   |
      | engine-1 |
