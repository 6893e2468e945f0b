Feature: Every further arrival of a request at an endpoint is counted as a repeat

  Scenario Outline: Repeats that hosts count, and those that arrive: <kind>, <behaves>, <links>
    Guards against repeats that reach endpoints without being counted.

    Given the whole path with 3 daemons
    When 12 "<kind>" calls come while endpoints are "<behaves>" and links are "<links>"
    Then the hosts have counted <bound> as many repeats as have arrived

    Examples:
      | kind  | behaves         | links | bound    |
      | look  | fail            | up    | just     |
      | look  | shed            | up    | just     |
      | look  | unsealed        | up    | just     |
      | look  | silent          | up    | just     |
      | order | shed            | up    | just     |
      | draft | cut             | up    | just     |
      | draft | cut in an event | up    | just     |
      | draft | shed            | up    | just     |
      | look  | fail            | reset | just     |
      | look  | shed            | reset | just     |
      | draft | cut             | reset | just     |
      | draft | cut             | hang  | at least |
