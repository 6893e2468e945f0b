Feature: What is kept for many looks follows each change

  Scenario Outline: An engine without an owner is found: <story>
    A look for engines to claim that goes by what was listed before would leave an
    engine without an owner, and its adapters would not be loaded.

    Given a daemon that has looked for engines to claim and found none
    When later <change>
    Then it finds <engines> to claim

    Examples:
      | story                    | change                          | engines |
      | nothing changed          | nothing changes                 | none    |
      | the owner's lease lapsed | the record of e1's owner goes   | e1      |
      | it was handed over       | e1's owner gives it up          | e1      |
      | the owner's host died    | the host of e1's owner restarts | e1      |
      | a new engine             | the store lists e2              | e2      |
      | the engine is gone       | the store lists e1 no more      | none    |
      | a record of no lease     | this daemon's lease is renewed  | e0      |

  Scenario Outline: Whose pauses count for an engine's pace: <story>
    An engine that is gone, or whose pauses are over, would slow all others for good.

    Given engines e0, e1 and e2 of which e1 has shown a scale of 1.5
    When later <change>
    Then e0 goes by the scales <scales>

    Examples:
      | story            | change                         | scales   |
      | shown once       | nothing else is told           | 1.5      |
      | two of them      | e2 is told to have shown 1.0   | 1.0, 1.5 |
      | its own          | e0 is told to have shown 1.0   | 1.5      |
      | over             | e1 is told to have shown 0.0   | none     |
      | leaving          | e1 is listed as leaving        | none     |
      | gone             | e1 is listed no more           | none     |
      | started again    | e1 is listed by a later start  | none     |

  Scenario: Calls on a model are counted as daemons tell and fall silent
    A count that strays from what daemons told lets an adapter in use be unloaded.

    Given 2000 random words of 9 daemons of their calls on 5 models, some long silent
    Then after each the count of each model is the sum over the daemons heard of lately

  Scenario Outline: An owner's task works no more often than it must: <story>
    Thirty messages a second woke the task of each engine, which had nothing to order.

    Given the task of an engine's owner in a pool of <daemons> daemons
    When 30 messages of other calls come in 0.27 s
    Then the task makes at most <passes> passes, and tells the last within <age> s

    Examples:
      | story        | daemons | passes | age  |
      | a large pool | 20      | 4      | 0.33 |
      | a small pool | 3       | 20     | 0.1  |
