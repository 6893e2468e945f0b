Feature: Prompts are paced, and forecasts are learned

  Scenario Outline: Bursts of prompts pause no streams, <load> times the load
    Ten prompts reached an engine within a tenth of a second, and its next step lasted as
    long as their reading: users saw their text stop for a third of a second.

    When schools' engines are simulated at <load> times their usual load
    Then at least <share> of their callers are answered in time
    And at most <part> as many streams pause too long as where prompts are not paced

    Examples:
      | load | share | part |
      | 1    | 0.97  | 0.8  |
      | 1.5  | 0.9   | 0.4  |

  Scenario: Engines that never pause their streams are not paced
    Prompts waited tenths of a second for their turns, on engines whose streams would not
    have paused.

    When a small pool is simulated at 1.5 times its usual load, paced and not
    Then at most 0.01 fewer of its callers are answered in time where it is paced

  Scenario Outline: The budget of tokens within the longest accepted pause: <story>
    Given engines that read 1000 tokens in 0.04 s, whose streams accept pauses of 0.25 s
    When <happens>
    Then a prompt of <tokens> tokens <goes>

    Examples:
      | story                         | happens                                  | tokens | goes             |
      | nothing paused yet            | 15000 tokens were sent                   | 2000   | goes at once     |
      | after a pause, little sent    | streams paused 0.3 s and 2000 were sent  | 2000   | goes at once     |
      | after a pause, much sent      | streams paused 0.3 s and 4500 were sent  | 2000   | goes within 0.25 s |
      | a pause without prompts       | streams paused 0.3 s while nothing was sent, then 9000 were | 2000 | goes at once |
      | caused by one long prompt     | one prompt of 9000 paused streams 0.3 s  | 2000   | goes at once     |
      | longer than the whole budget  | streams paused 0.3 s and nothing was sent | 9000  | goes at once     |
      | it has waited long            | streams paused 0.3 s and 4500 a window go on | 4900 | goes within 0.5 s |

  Scenario: The budget grows while pauses stay short, but not soon after a long one
    Given engines that read 1000 tokens in 0.04 s, whose streams accept pauses of 0.25 s
    When streams paused 0.3 s, and later pauses of 0.1 s follow while the budget is used up
    Then the budget is the same for 20 s, and larger after that

  Scenario: Prompts sent without a turn are removed after their window
    An owner's memory grew with each prompt of a pool whose streams never pause: no turn
    was requested, and sent prompts were removed only when one was given.

    Given engines that read 1000 tokens in 0.04 s, whose streams accept pauses of 0.25 s
    When 20000 prompts are sent without a turn, one each 0.01 s
    Then only those of the last second are kept

  Scenario: The budget measured on one engine applies to the others of its service
    Given engines that read 1000 tokens in 0.04 s, whose streams accept pauses of 0.25 s
    When streams of another engine paused too long
    Then its budget applies here, until pauses here show another one

  Scenario Outline: The time to a first event is learned: <story>
    First events were forecast after 0.3 s but came after 0.06 s: under heavy load a third
    of the callers was refused as too late, while half of the slots were free.

    Given engines whose first events take <base> s, and <token> ms a token
    When <calls> calls were seen, one in ten of them <stray>
    Then first events are forecast within <error> s

    Examples:
      | story           | base | token | calls | stray           | error |
      | fast engines    | 0.04 | 0.02  | 40    | as forecast     | 0.02  |
      | slow engines    | 0.15 | 0.15  | 60    | as forecast     | 0.08  |
      | some lost       | 0.04 | 0.02  | 60    | 2 s late        | 0.06  |
      | nothing seen    | 0.05 | 0.05  | 0     | as forecast     | 0.01  |

  Scenario: An engine that turns slow is distinguished from the others, and tried again
    Given engines whose first events take 0.05 s, and 0.03 ms a token
    When one of them turns 4 times as slow
    Then after 6 calls it is forecast at least twice as slow as the others
    And 10 s later it is forecast like the others

  Scenario: The number of loads served at full speed is learned
    The weight store served twice as many loads at full speed as assumed: they took 0.25 s
    where 0.44 s was forecast, and callers were refused, or waited for loaded adapters.

    Given a weight store that serves 16 loads at full speed
    When 14 loads at once are ordered again and again, and calls run on them in time
    Then 14 loads at once are forecast to take 0.25 s
    And where it serves 8, calls that come too soon end the trial for 3 s
