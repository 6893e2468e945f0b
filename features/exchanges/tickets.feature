Feature: Responses between daemons

  Scenario Outline: A daemon that starts again uses no ticket of its previous process: <class>
    Guards against late responses to a previous process that are taken for those to its successor.

    When two processes of a host request as <class> in turn
    Then no response to the first matches a request of the second

    Examples:
      | class           |
      | Permits         |
      | PlainLoadClient |
      | StreamResumer   |
      | Turns           |
