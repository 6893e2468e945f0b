Feature: Two daemons a data centre hand on what the others need to know

  Scenario Outline: Each daemon hears one relay: <story>
    Each daemon of a large pool heard the owners of the engines that it used, and every
    change of the store's list. That grew with the engines, and took half of its time.

    Given a pool of 40 daemons in 2 data centres, and a relay of d1
    When <change>
    Then the relay tells <hearers> of its hearers <what>

    Examples:
      | story                    | change                                | hearers | what       |
      | new to it                | an owner tells of e1                  | all     | all of e1  |
      | told before              | an owner tells of e1 and a change     | all     | the change |
      | nothing came             | nothing comes                         | none    | nothing    |
      | nothing came for long    | nothing comes for 0.5 s               | all     | no engines |
      | the store lists a host   | the store tells of a host             | all     | the host   |
      | one of the other relay's | a daemon of the other relay asks      | one more | all of e1 |

  Scenario: A relay that is cut off from the store keeps nobody from looking there
    A relay could not reach the store for seconds, and went on telling of engines. Its
    hearers took that for word of the store, and served by a configuration of before.

    Given a pool of 40 daemons in 2 data centres, and a relay of d1
    When the store has not answered the relay for 3 s, and an owner tells of e1
    Then a hearer takes what it hears of e1, and not that it has heard of the store

  Scenario Outline: A daemon whose relay is silent asks the other: <story>
    A relay's host was frozen. The daemons that heard it knew of no engine's load, and
    asked the store each second, until the lease of the relay had lapsed.

    Given a pool of 40 daemons in 2 data centres, and a hearer in d1
    When <heard> for a second
    Then it has asked <asked>, and has looked at the store: <looked>

    Examples:
      | story     | heard                   | asked           | looked |
      | silent    | it hears nothing        | the other relay | yes    |
      | not so    | its relay tells it      | nobody          | no     |

  Scenario Outline: What others run where a telling counts the calls of all: <story>
    A daemon sent three calls to one engine at once. What owners told by the relay did
    not count them yet, so they were taken off twice, and more calls were sent there.

    Given an engine that runs <own> own calls, as its owner was told <ago> s ago
    When a relay tells that it runs <all> calls in all
    Then it is believed to run <calls>

    Examples:
      | story             | own | ago  | all | calls |
      | counted           | 2   | 1.0  | 5   | 5     |
      | not counted yet   | 3   | 0.05 | 5   | 8     |
      | told of more once | 2   | 1.0  | 1   | 2     |

  Scenario: A change that was missed is found by its number
    A daemon missed one of a relay's messages. It believed for seconds that engines
    held what they had long unloaded.

    Given an engine whose owner told of it up to change 4
    When change 6 comes, and change 5 after it
    Then only change 6 shows that one was missed, and neither is taken by itself
