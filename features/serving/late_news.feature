Feature: What the store says reaches every daemon of a large pool in time

  Scenario Outline: An endpoint's leaving is known within 3 s: <story>
    Callers were sent to an endpoint 3.2 s after the store had acknowledged that it
    leaves. The hosts that sent them were well. The relay that they heard was not, yet
    its messages kept coming, and each was taken for proof that no change was missed.
    Evidence: the relay failed its readiness check meanwhile, and its hearers never did;
    a relay without the store's answers goes on for 2.3 s, and silence takes 0.9 s more.

    Given a pool of 40 daemons in 2 data centres whose store changes <changes> times a second
    When <trouble>, and an endpoint leaves
    Then a hearer of that relay knows within 3.0 s

    Examples:
      | story                       | changes | trouble                                          |
      | all is well                 | 50      | nothing happens                                  |
      | all is well and quiet       | 0       | nothing happens                                  |
      | its relay is frozen         | 50      | its relay is frozen                              |
      | news waits before a link    | 50      | its relay's link has filled up for 4 s           |
      | news waits, and it is quiet | 0       | its relay's link has filled up for 4 s           |
      | news waits on both links    | 50      | both relays' links have filled up for 4 s        |
      | its relay lost the store    | 50      | the store answers its relay no more              |
      | it lost it, and it is quiet | 0       | the store answers its relay no more              |
      | both relays lost the store  | 50      | the store answers both relays no more            |

  Scenario Outline: A hearer whose relay is well leaves the store alone: <changes> changes a second
    Two relays a data centre read the store, so that calls do not grow with the pool:
    all that hear them together must make fewer.

    Given a pool of 40 daemons in 2 data centres whose store changes <changes> times a second
    When nothing happens for 20 s
    Then eighteen hearers call the store less often than two relays

    Examples:
      | changes |
      | 0       |
      | 0.7     |
      | 1.3     |
      | 3       |
      | 50      |

  Scenario Outline: A daemon that the store turns away hears all of its relay: <story>
    A store answered a third of the hosts no more. Some of them went on for seven seconds
    by a configuration of before, beside a relay that had the new one: what the relay
    told began after a revision that they never had, so they took none of it, and waited
    for a look of their own at a store that did not answer.

    Given a pool of 40 daemons in 2 data centres whose store changes 50 times a second
    When the store turns a hearer away, which misses <missed>, and an endpoint leaves
    Then a hearer of that relay knows within 3.0 s

    Examples:
      | story                        | missed                             |
      | nothing missed               | nothing                            |
      | one message missed           | what its relay tells for 0.3 s     |
      | its relay's link was cut     | what its relay tells for 1.2 s     |

  Scenario Outline: A relay that the store turns away hears another relay: <story>
    A store answered a third of the hosts no more for nine seconds, relays among them.
    Relays heard nobody else, so each served its own callers by a configuration that was
    ten seconds out of force, and so did the hearers that the store turned away as well.

    Given a pool of 40 daemons in 2 data centres whose store changes 50 times a second
    When the store turns <whom> away, and an endpoint leaves <when>
    Then <who> knows within 3.0 s

    Examples:
      | story                       | whom                      | when       | who                    |
      | the relay itself, at once   | the relay                 | at once    | that relay             |
      | the relay itself, later     | the relay                 | 5 s later  | that relay             |
      | its hearer, at once         | the relay and a hearer    | at once    | a hearer of that relay |
      | its hearer, later           | the relay and a hearer    | 5 s later  | a hearer of that relay |
      | a relay of a whole centre   | the whole data centre     | at once    | that relay             |
      | a hearer of a whole centre  | the whole data centre     | 5 s later  | a hearer of that relay |

  Scenario: A look at the store that a telling has overtaken sets nothing back
    A daemon looked at the store; the answer, given before an endpoint said that it
    leaves, waited before a full link. Its relay's word of the leaving came first. Then
    the answer, with the endpoint's entry of before, put the endpoint back into use.

    Given a hearer that looks at the store, whose answer of revision 9 takes 0.5 s
    When its relay tells it meanwhile, at revision 10, that the endpoint leaves
    Then the endpoint is still leaving once the answer has come, at revision 10

  Scenario Outline: A relay keeps what it handed on for those that missed it: <story>
    Given a relay that handed on changes of <keys> keys up to revision <newest>
    When a hearer has missed what came after revision <known>
    Then it is told <what>

    Examples:
      | story                | keys | newest | known | what                            |
      | the last one         | 3    | 20     | 19    | 1 items, all after 19           |
      | each key's newest    | 3    | 20     | 10    | 3 items, all after 10           |
      | all that is kept     | 3    | 20     | 5     | 3 items, all after 5            |
      | from before it began | 3    | 20     | 4     | nothing, as some are gone       |
      | more than it keeps   | 3    | 2000   | 900   | nothing, as some are gone       |
      | just what it keeps   | 2000 | 2000   | 1000  | 1000 items, all after 1000      |

  Scenario: Whatever troubles overlap, who can know of a leaving knows in time
    Stores turn daemons and whole data centres away, daemons are cut off and fall out of
    the list, links fill up and lose messages, all at once. Known within 3 s must it be to
    all that the store answers, and to those it turns away that hear a relay it answers.

    Then 12 random histories of "who knows of it in time" break nothing

  Scenario Outline: A history that broke once breaks nothing: seed <seed>
    <cause>

    Then the random history <seed> of "who knows of it in time" breaks nothing

    Examples:
      | seed | cause                                                               |
      | 36   | A daemon listed again, and turned away before it heard so, heard nobody. |

  Scenario: A daemon that has missed something asks each relay by itself
    A store turned a daemon away, which had missed changes. One relay kept too little to
    catch it up and was asked again with each telling, and the other one, which had it
    all, never: one pause between questions held for both.

    Given a daemon at revision 8 that the store turns away
    When relay h1 tells it of changes after 20, and relay h3 0.1 s later
    Then it has asked h1 and h3 for what came after 8
    And when both tell again 0.2 s later, it asks neither again
