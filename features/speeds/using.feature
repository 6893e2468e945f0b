Feature: Daemons use the speeds that owners publish

  Scenario Outline: A published speed is relative to the service's median: <story>
    When owners publish the speeds "<published>"
    Then the last of these engines has the speed <speed>

    Examples:
      | story                     | published            | speed |
      | alike                     | 1.0 1.05 0.95 1.0    | 1.0   |
      | noise is no difference    | 1.0 1.0 1.0 1.12     | 1.0   |
      | as much as in a crowd     | 1.0 1.0 1.0 1.29     | 1.0   |
      | more than in a crowd      | 1.0 1.0 1.0 1.31     | 1.31  |
      | slow                      | 0.6 1.0 1.0 1.6      | 1.6   |
      | fast                      | 1.6 1.0 1.0 0.6      | 0.6   |
      | all forecasts too short   | 2.0 2.0 2.0 2.0      | 1.0   |
      | slow, forecasts too short | 2.0 2.0 2.0 4.0      | 2.0   |
      | most are unknown          | 0 0 0 1.6            | 0.0   |
      | unknown among known ones  | 1.0 1.0 1.6 0        | 0.0   |
      | alone                     | 3.0                  | 1.0   |

  Scenario Outline: A speed is unknown again: <cause>
    The speed of an earlier start, or from an owner that is gone, affected placement forever.

    When owners publish the speeds "1.0 1.0 1.6"
    And <cause>
    Then the last of these engines has the speed 0.0

    Examples:
      | cause                                    |
      | the engine starts again                  |
      | its owner sends no update for 3.1 s      |
      | its owner publishes it as unknown        |

  Scenario: Without the setting all engines count as equal
    When speeds are not learned, and owners publish the speeds "1.0 1.0 1.6"
    Then the last of these engines has the speed 0.0
    And a relay forwards 1.6

  Scenario Outline: The setting learn_speeds is "<text>"
    When settings hold "<text>" for learn_speeds
    Then they are <outcome>

    Examples:
      | text  | outcome         |
      |       | read as yes     |
      | yes   | read as yes     |
      | no    | read as no      |
      | maybe | refused         |

  Scenario: Forecasts and the pacing of prompts use the engine's own speed
    When owners publish the speeds "1.0 1.0 2.0"
    Then a first event, a wait for a slot and the reading of a token take 2 times as long there

  Scenario: A slow engine does not change the forecasts for the service
    When owners publish the speeds "1.0 1.0 2.0"
    And 60 calls there take 2 times as long as forecast
    Then the first forecast of another engine differs by at most 5%

  Scenario Outline: A prompt goes to an engine that it does not pause: <story>
    A prompt whose reading takes 0.2 s on the usual engine paused all streams of a slow
    one for 0.4 s, longer than the 0.3 s that their users accept.

    Given engines of speeds 1.0, 1.0 and <speeds> that run 3 calls each
    When a prompt of <tokens> tokens comes, and the usual engines are <others>
    Then it goes to the one of speed <chosen>

    Examples:
      | story                         | speeds  | tokens | others                    | chosen |
      | long, a faster one is there   | 0.6 1.6 | 3500   | far too full              | 0.6    |
      | long, only the slow one can   | 1.6     | 3500   | far too full              | 1.6    |
      | long, sooner on the slow one  | 1.6     | 3500   | about to read 4000 tokens | 1.0    |
      | short, sooner on the slow one | 1.6     | 200    | about to read 4000 tokens | 1.6    |
