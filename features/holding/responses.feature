Feature: Responses count toward the memory while they are gathered

  Scenario Outline: Many responses at once stay within the memory for callers: <story>
    Guards against endpoints whose responses fill a daemon's memory before they are written.

    Given a budget of <budget> kB for responses that are gathered
    When <faulty> endpoints each send <count> responses of <size> kB at once
    And a sound endpoint sends <sound> of 100 kB
    Then never more than the budget is held
    And <gathered> of the sound ones are gathered whole

    Examples:
      | story                      | budget | faulty | count | size  | sound | gathered |
      | one endpoint sends them    | 32000  | 1      | 150   | 20000 | 5     | 5        |
      | a fleet sends them         | 32000  | 5      | 40    | 20000 | 5     | 5        |
      | within the longest length  | 32000  | 1      | 150   | 1000  | 5     | 5        |
      | all is calm                | 32000  | 0      | 0     | 0     | 50    | 50       |

  Scenario Outline: A long response beside which nothing is held: <size> kB within <budget> kB
    Guards against a bound on the sum that refuses what one daemon can hold.

    Given a budget of <budget> kB for responses that are gathered
    When one endpoint sends a response of <size> kB
    Then the response is <outcome>

    Examples:
      | budget | size | outcome                           |
      | 32000  | 8000 | gathered                          |
      | 17000  | 8000 | gathered                          |
      | 12000  | 8000 | broken: no memory for more than   |
      | 32000  | 9000 | broken: the response is longer    |
      | 0      | 8000 | gathered                          |

  Scenario: Long responses of one endpoint that are sent in turn are gathered
    Guards against responses that all give way shortly before their end.

    Given a budget of 32000 kB for responses that are gathered
    When 1 endpoints each send 150 responses of 4000 kB at once
    And a sound endpoint sends 5 of 100 kB
    Then never more than the budget is held
    And 2 of the 150 or more are gathered whole
