Feature: The whole path on the platform's wire
  Daemons, a store, plain endpoints and engines over sockets, without the platform.

  Scenario Outline: Plain calls, when the first endpoint <behaves>
    A caller's look-up fails though a second endpoint is well; or an order is run
    twice, as the first endpoint had run it and its answer was lost.

    Given the whole path
    When the endpoints behave "<behaves>" once and a "<kind>" call comes
    Then it ends with <status>, run by <runs> endpoints

    Examples:
      | kind  | behaves   | status | runs |
      | look  | well      | 200    | 1    |
      | order | well      | 200    | 1    |
      | look  | fail      | 200    | 2    |
      | order | fail      | 500    | 1    |
      | look  | shed      | 200    | 1    |
      | order | shed      | 200    | 1    |
      | look  | silent    | 200    | 2    |
      | look  | unsealed  | 200    | 2    |
      | order | unsealed  | 502    | 1    |
      | look  | another's | 200    | 2    |

  Scenario: An answer that comes just as patience with it ends
    A caller's connection was closed without an answer. The endpoint's answer came in
    the moment in which the daemon gave it up: it was taken, not written, and the next
    endpoint's answer could not be written after it.

    Given the whole path
    When the first endpoint's answer to a look-up comes just as patience with it ends
    Then the look-up is answered with 200, by the second endpoint

  Scenario Outline: A call that meets an error of the daemon's own is answered: <kind>, <where>
    Guards against kept connections that an error of ours closes without an answer.

    Given the whole path
    When a "<kind>" call on a kept connection meets an error in "<where>"
    Then it is answered with 500, and the connection ends after that
    And the daemon counts the error, and goes on to serve
    And the call's line has the outcome fault

    Examples:
      | kind  | where                  |
      | look  | Placing.place          |
      | look  | Attempting._exchange   |
      | order | Attempting._take_whole |
      | draft | Attempting._relay      |

  Scenario: A call whose answer fails before a byte of it is written is answered
    Guards against kept connections that an error between head and body closes.

    Given the whole path
    When a "look" call on a kept connection meets an error in "Responder.end"
    Then it is answered with 500, and the connection ends after that
    And the daemon counts the error, and goes on to serve

  Scenario: Calls under way when a background task fails are answered
    Guards against daemons that end by an error and close callers' connections unanswered.

    Given the whole path
    When a background task fails while a call on a kept connection waits
    Then it is answered with 504, and the connection ends after that
    And the error is logged with its place, and ends the daemon

  Scenario: Method, path, query and body reach the endpoint unchanged
    Given the whole path
    When "POST" "/order/a%20b?x=1&y=%2F" is called with body "abc"
    Then the answer is "POST /order/a%20b?x=1&y=%2Fabc"

  Scenario: What only the system sets is not forwarded
    A caller reserved memory on an engine, and named which instance must run it.

    Given the whole path
    When a call comes with the caller's own "Hold", "Pin-Ms", "Kv-From", "Expect-Instance"
    Then the endpoint got none of the caller's

  Scenario: An adapter is loaded when it is asked for, and an old one makes room
    Given the whole path
    When streams for 8 adapters come one after another
    Then all are whole
    And no engine was ordered beyond its places
    And no engine was ordered by two daemons

  Scenario Outline: A stream that breaks is continued: <behaves>
    A user's draft stops in the middle, or shows a line twice. The engine's stream
    broke; another engine can go on after the last event.

    Given the whole path
    When a draft comes and the engine's stream is "<behaves>"
    Then the caller has all ten events once, in order

    Examples:
      | behaves         |
      | well            |
      | cut             |
      | cut in an event |

  Scenario: A stream that may not be continued breaks without looking complete
    A user took half a note for a whole one.

    Given the whole path
    When a note comes and the engine's stream is "cut"
    Then the caller's stream breaks after 4 events

  Scenario: A named version is loaded and expected
    Given the whole path
    When version 2 of "base/a1" is named and a draft for it comes
    Then an engine was ordered to load version 2
    And the draft was sent with that version expected

  Scenario Outline: Engines start again under their ids: <told>
    A user's draft was refused for as long as the engine lived: its owner took each
    report of the new start for one of before, as it counted fewer orders.

    Given the whole path
    When a draft for "base/a1" was answered, and all engines start again, <told>
    Then a draft for it is soon answered, and its load was ordered anew

    Examples:
      | told                   |
      | as their entries tell  |
      | as their reports tell  |

  Scenario: Entries of another writer change nothing
    A user's look-up went to an address that no server had written, or to none, as the
    daemon stumbled over what another program had put among the entries.

    Given the whole path
    When other programs write among the entries
    Then 10 calls are answered by the desks

  Scenario: A leaving endpoint gets no new calls
    Given the whole path
    When desk-1 says that it is leaving
    Then 10 calls all reach desk-2

  Scenario Outline: The last good configuration stays in force: <trouble>
    Given the whole path
    When <trouble>
    Then "/look/1" is answered with 200
    And the log tells "<line>"

    Examples:
      | trouble                                | line             |
      | the configuration cannot be read       | store.unreadable |
      | the store is down                      | store.lost       |
      | the store answers nonsense             | store.lost       |

  Scenario Outline: Adapters are loaded while the store is away: leases of <lease_ms> ms
    The store was away for all hosts for 8 s of a busy day. Leases of 1.5 s lapsed, no
    engine was ordered, and callers of all adapters that were not loaded were refused.

    Given the whole path, with leases of <lease_ms> ms
    When the store has been away for 2 s, and a draft for a new adapter comes
    Then it is <answered>

    Examples:
      | lease_ms | answered                       |
      | 1000     | refused, with when to come back |
      | 10000    | answered whole                 |

  Scenario: A dropped route is refused, also after the store forgot its history
    Given the whole path
    When the store forgets its history and the route "look" is dropped
    Then "/look/1" is soon answered with 404

  Scenario: Three daemons, one owner an engine
    Two daemons ordered one engine, and it got more adapters than it has places for.

    Given the whole path with 3 daemons
    When 60 streams for 9 adapters come to all daemons
    Then all are whole
    And no engine was ordered beyond its places
    And no engine was ordered by two daemons

  Scenario: An owner that ends hands its engines over
    Given the whole path with 2 daemons
    When the owner of engine-1 gives its lease up
    Then the other daemon owns engine-1 with a higher number

  Scenario: A daemon whose record is taken away writes it again
    The store took a host's keys away while its lease ran on. Others forgot the host
    for good, and it heard nothing of the engines any more.

    Given the whole path
    When the store takes away the daemon's record
    Then the record is soon there again, under the same lease

  Scenario: A daemon that starts learns of changes at once
    A daemon waited to be told of the store's changes before anybody knew it: its
    lease lapsed, and no engine had an owner for three seconds after each start.

    Given the whole path
    Then no lease was lost

  Scenario Outline: What cannot be read is refused: <what>
    Given the whole path
    When a caller sends <what>
    Then it is answered <status> and no endpoint got it

    Examples:
      | what                  | status |
      | two framings          | 400    |
      | two lengths           | 400    |
      | a body of 2000 bytes  | 413    |
      | no request at all     | 400    |
      | half a head           | 408    |
      | an unreadable header  | 400    |
      | a deadline of nan ms  | 400    |
      | a deadline of 0 ms    | 503    |

  Scenario Outline: An endpoint answers a long body early, and <then it>
    An order was answered "may have run", and was lost: its endpoint had refused it
    before it read the whole body. The write broke, and the answer was not looked at.

    When an endpoint answers 503 before a body of 8 MB is read, and <then it>
    Then the answer is read
    And the connection is <kept>

    Examples:
      | then it           | kept     |
      | closes            | not kept |
      | reads the rest on | kept     |

  Scenario: A caller that leaves ends its call at the endpoint
    While many callers left early, well engines got few calls: each left call was
    counted as the engine's failure.

    Given the whole path
    When a caller leaves in the middle of a stream
    Then the engine's connection is closed soon after
    And the engine is not taken for one that fails

  Scenario: A daemon without a configuration says that it was not run
    Given the whole path without a configuration
    Then the daemon is not ready
    And a call is answered with 503 and when to come back
    And the log tells that call's id and why

  Scenario Outline: The template states the machine's limits where there are any: <limits>
    Guards against a template that cannot be filled where a field's table is absent.

    When the template is filled with <limits>
    Then the settings allow <memory> MB and <descriptors> descriptors

    Examples:
      | limits                                   | memory | descriptors |
      | {"memory_mb": 300, "max_fds": 4100}      | 300    | 4100        |
      | {"memory_mb": 300, "cores": 2}           | 300    | 0           |
      | {}                                       | 0      | 0           |
      | no limits                                | 0      | 0           |

  Scenario Outline: Settings are checked whole: <fault>
    When the settings have <fault>
    Then the check names "<place>"

    Examples:
      | fault             | place            |
      | a missing key     | [store] address  |
      | an unknown key    | [host] colour    |
      | an unknown section| [colours]        |
      | a bad address     | [listen] ready   |

  Scenario: A short fault soak of real daemons
    What no single story tells: kills, stops, pauses, cut and silent connections, a store
    that is down and endpoints that crash, leave and spoil answers, in overlapping series.

    When the soak plays seed 1 for 6 s
    Then it finds no broken promise

  Scenario: A short soak of releases and of streams that are taken up
    Events of one stream that engines of two software versions wrote, in one answer or
    over its caller's tries.

    When the soak plays seed 1 with releases for 10 s
    Then it finds no broken promise
