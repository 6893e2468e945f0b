Feature: Decisions of serving, without a network
  Where a call goes, what an owner orders, who owns an engine, what may be repeated.

  Scenario Outline: A call goes where it is answered soonest: <story>
    A user waits for an adapter that was loaded on another engine a second ago, or
    in the line of a busy engine while others idle.

    Given engines a, b and c that hold base "m"
    And <state>
    When a call for "m/x" is placed
    Then it is <choice>

    Examples:
      | story                           | state                                        | choice              |
      | one holds it                    | b holds "m/x"                                | sent to b           |
      | two hold it, one is busy        | a and b hold "m/x" and a has 40000 unread    | sent to b           |
      | it is on its way                | b gets "m/x" in 0.2 s                        | awaited on b        |
      | one had it lately               | c held "m/x" lately                          | loaded on c         |
      | the holder is far behind        | b holds "m/x" and b has 60000 unread         | loaded elsewhere    |
      | the holder's owner is frozen    | c held "m/x" lately and its owner is silent  | loaded on a or b    |
      | no engine has an owner          | no engine has an owner                       | not placed          |
      | the holder fails its calls      | a and b hold "m/x" and a fails all calls     | sent to b           |

  Scenario: A call does not go into the line of an engine whose slots are taken
    An engine runs twelve calls at once. A hot adapter's calls stood in line behind
    sixteen others, while a fetch to an idle engine takes a quarter of a second.

    Given engines a, b and c that hold base "m"
    And b holds "m/x" and runs 20 calls in 12 slots
    When a call for "m/x" is placed
    Then it is loaded elsewhere

  Scenario Outline: How long a load from the weight store takes: <engines> engines
    A large pool's loads were taken for four times as slow as they were, as if its
    weight store were built for six engines: a third of its callers was refused.

    Then with <engines> engines and <coming> loads on their way one takes <seconds> s

    Examples:
      | engines | coming | seconds |
      | 6       | 8      | 0.25    |
      | 6       | 16     | 0.5     |
      | 70      | 35     | 0.25    |
      | 70      | 140    | 0.5     |

  Scenario: How long a load takes is learnt from calls that came too soon
    Given an owned engine with 4 places
    When a load is taken to be done and calls are refused until 0.29 s after its order
    Then the next load is taken to last 0.29 to 0.32 s

  Scenario Outline: What is known of an engine that no owner told of: <story>
    A daemon of a large pool had heard of an engine a minute ago, and sent calls for
    adapters that it held then.

    Given an engine whose owner told <ago> s ago that it holds "m/told"
    When the platform lists it with "m/listed"
    Then it is believed to hold "<holds>"

    Examples:
      | story          | ago | holds    |
      | just heard of  | 0.5 | m/told   |
      | not for long   | 9   | m/listed |

  Scenario: A call that no engine can answer in time is refused at once
    Under twice the load that the engines hold each call waited in line until its
    answer was late: engines worked, and no caller was served in time.

    Given engines a, b and c that hold base "m"
    And all have 20000 unread
    When a call for "m" with 0.6 s of patience is placed
    Then it is refused as 0.4 s or more too late

  Scenario Outline: A named version is not served by an older one: <story>
    A user gets an answer of the old adapter seconds after the new one was named.

    Given engines a, b and c that hold base "m"
    And b holds "m/x" at version 1
    When a call for "m/x" is placed, of which <named>
    Then it is <choice>

    Examples:
      | story                  | named                                    | choice               |
      | just named             | 2 was named 0.5 s ago                    | sent to b, version 1 |
      | named some time ago    | 2 was named 9 s ago                      | loaded elsewhere     |
      | another is named after | 2 was named 9 s ago and 3 0.5 s ago      | loaded elsewhere     |
      | a series               | 2 was named 4.5 s ago and 3 2 s ago      | loaded elsewhere     |
      | a young series         | 2 was named 2 s ago and 3 0.5 s ago      | sent to b, version 1 |
      | before the start       | 2 was named inf s ago                    | loaded elsewhere     |

  Scenario Outline: The newest version is loaded while older ones serve: <holders>
    Guards against an adapter in use whose older versions keep the newest from loading.

    Given engines a, b and c that hold base "m"
    And <far> are in another data centre
    And <holders> hold "m/x" at version 1 with a call each
    When a call for "m/x" is placed, of which 2 was named 0.5 s ago
    Then it is sent to version 1, and the newest is loaded on another engine

    Examples:
      | holders | far  |
      | a       | b, c |
      | a, b    | a, c |
      | a, b, c | b, c |
      | a, b, c | a, c |
      | a, b, c | a, b |

  Scenario Outline: A call is not refused for a load that it need not wait for: <patience> s
    Guards against callers refused after a naming while an older version may serve them.

    Given engines a, b and c that hold base "m"
    And b holds "m/x" at version 1
    When a call for "m/x" with <patience> s of patience is placed, of which 2 was named 0.5 s ago
    Then it is <choice>

    Examples:
      | patience | choice                          |
      | 9        | sent to b, version 1            |
      | 0.25     | sent to b, version 1            |
      | 0.01     | refused as 0.1 s or more too late |

  Scenario: A hot adapter gets a copy, a cold one does not
    One engine's line grows while another idles: all calls of a hot adapter went to
    the one that has it. For a cold adapter a copy would cost more than it helps.

    Given engines a, b and c that hold base "m"
    And b holds "m/hot" with 6 users and "m/cold" with 1 user and has 5000 unread
    Then a call for "m/hot" asks for a copy
    And a call for "m/cold" asks for no copy

  Scenario Outline: No random history breaks a promise: <of what>
    An engine was ordered beyond its places, or by two hosts; an old configuration came
    back; a call ran twice; an endpoint was used long after it had left. Hosts freeze and
    are cut off, orders are lost or late, and what the store says comes late or twice.

    Then 60 random histories of "<of what>" break nothing

    Examples:
      | of what                   |
      | who orders an engine      |
      | what an engine is ordered |
      | what is in force          |
      | at most once              |
      | who is leaving            |
      | what an account uses      |
      | what answers ask for      |
      | which version work begins on |
      | which era it is           |

  Scenario: An adapter in use is not unloaded
    Users of the old adapter hold the engine for seconds: an unload waits for its
    runs, and the engine takes no other order meanwhile.

    Given an owned engine with 2 places, both in use
    When a third adapter is wanted
    Then nothing is ordered
    And when the calls of one end, that one is unloaded and the third loaded

  Scenario: A wish does not wait for an adapter that leaves
    One adapter's unload waited two seconds for its runs. The owner took that for a
    reason to order nothing at all, and thirty callers were refused.

    Given an owned engine with 3 places, both of two in use and one leaving
    When a free place comes by a report
    Then the wanted adapter is loaded

  Scenario Outline: A report that counts fewer orders, <after> s after the last answer
    Guards against engines that get no orders again after one that they did not count.

    When an unload is answered as done, and the engine did not count it
    Then a report <after> s later is <effect>

    Examples:
      | after | effect  |
      | 0.3   | ignored |
      | 1.5   | applied |

  Scenario: An order without an answer does not hold up the next
    An engine left an order unanswered. The owner waited half a second for it, and
    again for the next: loads came to a stop while the engine was well.

    Given an owned engine with 4 places
    When an order for "m/a1" gets no answer
    Then the next order follows with the same sequence

  Scenario: A load that takes longer than forecast is waited for
    Calls came 6 ms before a load's end, were refused, and were sent to another
    engine, which fetched the adapter a second time.

    Given an owned engine with 4 places
    When "m/a1" is loaded and a call is refused just after the expected end
    Then its expected end is put off

  Scenario: A successor spares what its predecessor's calls use
    An owner froze. Its successor unloaded the busiest adapters first, as it knew
    nothing of their use.

    Given a successor's engine with 3 places, "m/hot" used last
    When a fourth adapter is wanted
    Then another than "m/hot" is unloaded

  Scenario: Calls of a daemon that fell silent count no more
    A host lost power with calls on an adapter; its place was never given away again.

    Given an owned engine with 1 place, in use by a daemon that falls silent
    When another adapter is wanted 3 s later
    Then the place is given away

  Scenario: An engine that started empty is put to use as soon as its base is loaded
    All engines were replaced one by one. The new ones loaded the base model, and
    nobody was told: after the last old one had left all callers were refused.

    Given an owned engine that started empty
    Then its base is ordered once, and reports are asked for until it is there
    And then adapters are loaded

  Scenario Outline: Whether a call is sent again: <kind>, <end>, <runs> runs of <most>
    When a <kind> call with <most> attempts and <runs> runs ends as <end>
    Then it may be sent again: <again>

    Examples:
      | kind            | most | runs | end     | again |
      | idempotent      | 2    | 1    | broken  | yes   |
      | idempotent      | 2    | 2    | broken  | no    |
      | non-idempotent  | 2    | 1    | broken  | no    |
      | non-idempotent  | 1    | 0    | not run | yes   |
      | non-idempotent  | 1    | 1    | not run | no    |
      | resumable       | 2    | 1    | broken  | yes   |
      | unresumable     | 2    | 1    | broken  | no    |
      | idempotent      | 2    | 1    | failed  | yes   |

  Scenario Outline: Who claims an engine without an owner, after <passed> s
    A host that owned engines was killed. Its engines got no orders until another
    claimed them; two that claimed at once raced in the store.

    Given daemons near1 and near2 in the engine's data centre, and far1 elsewhere
    When <passed> s have passed since its record lapsed
    Then <count> daemons may claim it, the nearest first

    Examples:
      | passed | count |
      | 0      | 1     |
      | 0.6    | 2     |
      | 1.2    | 3     |

  Scenario Outline: An owner whose record is gone: <story>
    The store took a host's keys away at once, while its lease ran on. Its engines
    were claimed and ordered by another, and a moment later by the first again.

    Given host h1 at start 5 owned engine e1
    When of the owner, <change>
    Then e1 is ownerless: <free>, and may still be ordered by h1: <may>

    Examples:
      | story                  | change                                    | free | may |
      | it is there            | nothing changes                           | no   | no  |
      | keys taken away        | the record goes                           | yes  | yes |
      | handed over            | the record is handed over                 | yes  | no  |
      | started anew           | h1 is listed at start 6                   | yes  | no  |
      | gone, and started anew | the record goes and h1 is listed at start 6 | yes  | no  |
      | a second is lost too   | the record goes and h2 claims and the record goes | yes | yes |
      | a second restarts      | the record goes and h2 claims and h2 is listed at start 2 and h3 claims | no | yes |
      | a second hands over    | the record goes and h2 claims and h2 hands over | yes | yes |
      | the first again        | the record goes and h1 claims and h1 hands over | yes | no |
      | 11 s ago               | the record goes and 11 s pass             | yes  | no  |

  Scenario Outline: An owner stops before its lease can have lapsed: <story>
    Two owners ordered one engine: the first was cut off from the store, and did not
    know that its lease had lapsed.

    When a lease of 3 s was renewed <ago> s ago
    Then the owner may order: <may>

    Examples:
      | story            | ago | may |
      | just renewed     | 0.1 | yes |
      | shortly before   | 2.3 | yes |
      | within the margin| 2.5 | no  |
      | lapsed           | 3.5 | no  |

  Scenario Outline: What is believed is never set back: <what>
    A stale read of the store put an older configuration in force.

    When <what> at 5 is followed by 4
    Then 5 is believed

    Examples:
      | what                     |
      | a configuration          |
      | an adapter's version     |
      | an owner's record        |

  Scenario Outline: An endpoint that is not listed any more, <when>
    After an outage of the store every entry had lapsed though all endpoints lived:
    all callers were refused until the entries were back.

    Given a listed endpoint
    When its entry goes <when>
    Then it is used for <long> s

    Examples:
      | when                               | long |
      | while the store is well            | 0    |
      | 0.5 s after a failed call began    | 2.5  |
      | 2 s after a failed call began      | 1    |
      | 3 s after a failed call began      | 0    |

  Scenario Outline: A route is chosen by host and longest prefix: <host> <path>
    Given routes "one.example" "/a/" and "/a/b/", and "two.example" "/"
    Then "<host>" "<path>" takes route "<route>"

    Examples:
      | host         | path    | route |
      | one.example  | /a/x    | a     |
      | one.example  | /a/b/x  | ab    |
      | one.example  | /c/     | none  |
      | two.example  | /c/     | all   |
      | six.example  | /a/x    | none  |

  Scenario Outline: Who watches the store and is told of its changes, among <daemons> daemons
    With 79 hosts each watching the store, their calls were a third of what a day
    was worth.

    Given <daemons> daemons in 3 data centres
    Then <watching> of a data centre's watch the store
    And <hearing> are handed what those hear, each by one of them

    Examples:
      | daemons | watching | hearing |
      | 9       | 3        | 0       |
      | 78      | 2        | 24      |
      | 780     | 2        | 258     |

  Scenario Outline: A call that crashes endpoints, <losses> losses <how>
    A caller's request crashed one engine after another, each with all that it ran:
    its caller sent it again by the next host each time.

    When a call of <bytes> bytes was lost with <losses> endpoints, <how>
    Then it is refused: <refused>, and another call: no

    Examples:
      | losses | bytes | how                        | refused |
      | 1      | 100   | seen by this daemon        | no      |
      | 2      | 100   | seen by this daemon        | yes     |
      | 2      | 100   | told by another daemon     | yes     |
      | 2      | 0     | seen by this daemon        | yes     |
      | 2      | 100   | but they lived on          | no      |
      | 2      | 100   | seen more than 60 s ago    | no      |
      | 2      | 100   | seen 5 s later             | yes     |
      | 2      | 100   | seen 7 s later             | no      |
      | 2      | 100   | known before it ended      | yes     |
      | 2      | 100   | of two starts of one       | yes     |
      | 2      | 100   | answered between them      | no      |

  Scenario Outline: A request that crashes endpoints by several addresses: <addresses>
    Guards against callers whose address changes, and against blame of innocent ones.

    When a request by the addresses <addresses> is lost with an endpoint each
    Then it is refused by address a: <by a>, and by address z: <by z>

    Examples:
      | addresses               | by a | by z |
      | a                       | no   | no   |
      | a, a                    | yes  | no   |
      | a, b                    | yes  | yes  |
      | a, a, a                 | yes  | no   |
      | a, then answered, b     | no   | no   |
      | a, a, then z answered   | yes  | no   |
      | a, b, then z answered   | no   | no   |
      | a, a, z beside a        | yes  | no   |
      | a, z beside a, b        | no   | no   |
      | a, z beside a, b, c     | yes  | yes  |

  Scenario Outline: A call that crashes an endpoint again <after> s after two losses
    Guards against calls that cost two endpoints each time that their refusal lapses.

    When a call is lost with two endpoints, and with one more each time that it may run
    Then <after> s after the second loss <lost> endpoints are lost, and it is refused

    Examples:
      | after | lost |
      | 59    | 2    |
      | 659   | 3    |
      | 6659  | 4    |
      | 86000 | 6    |

  Scenario Outline: A call that comes again is known, another <part> is another call
    Guards against calls without a body that crash endpoints and are not known again, and
    against blame of other callers' calls.

    When a call comes again with another <part>: <value>
    Then it is taken for the same call: <same>

    Examples:
      | part    | value     | same |
      | method  | GET       | yes  |
      | account | north     | no   |
      | sender  | 10.0.0.2  | no   |
      | host    | desk      | no   |
      | method  | DELETE    | no   |
      | target  | /look/1?a | no   |
      | body    | x         | no   |

  Scenario: What is handed on of the store fits a small link
    A host with a link of 5 Mbit/s watched the store for its data centre. What it
    handed on filled the link; its own calls got no answer, and all heard 5 s late.

    When the entries of 70 engines are handed on to 26 daemons each 0.5 s
    Then that takes less than a fifth of 5 Mbit/s, and all arrive unchanged

  Scenario Outline: What a daemon that watches tells, after revision 5: <story>
    When a daemon at revision 5 is told of changes after <since> up to <revision>
    Then it is at revision <then>, and has heard: <heard>

    Examples:
      | story                | since | revision | then | heard |
      | the next changes     | 5     | 8        | 8    | yes   |
      | some known ones too  | 3     | 8        | 8    | yes   |
      | nothing new          | 5     | 5        | 5    | yes   |
      | something is missing | 6     | 8        | 5    | no    |
      | it is behind         | 2     | 4        | 5    | no    |

  Scenario: Long prompts go where few calls run
    A prompt of 7,000 tokens paused the streams of whichever engine it came to: forty
    drafts stopped for a third of a second, on each engine in turn.

    Given engines a, b and c that hold base "m"
    And a runs 40 calls, b runs 5 and c runs 30, and prompts of 6000 tokens pause streams
    When a call for "m" with 7000 tokens is placed
    Then it is sent to b
    And a call with 300 tokens goes to c, where no long prompts go, rather than to b
