Feature: What becomes of requests while engines cannot answer all in time

  Scenario Outline: A request is judged: <story>
    Guards against overdue requests that make others late, or that wait in vain.

    Given overdue calls go "<policy>"
    When a request with <deadline> s left is judged, <spent> s spent, <here> s here, for which placement says "<choice>"
    Then it is <verdict>

    Examples:
      | story                       | policy    | deadline | spent | here | choice | verdict       |
      | in time                     | last      | 12       | 0     | 0    | send   | admitted      |
      | its adapter comes           | last      | 12       | 0     | 0    | load   | admitted      |
      | it cannot be in time        | last      | 12       | 0     | 0    | late   | waiting       |
      | a retry that can be in time | last      | 12       | 0.6   | 0    | send   | admitted      |
      | overdue by its retries      | last      | 10       | 2     | 0    | send   | admitted last |
      | overdue by its wait here    | last      | 12       | 0.5   | 0.6  | send   | admitted last |
      | no capacity is left         | last      | 10       | 2     | 0    | none   | waiting       |
      | one can load its adapter    | last      | 10       | 2     | 0    | load   | admitted last |
      | its wait is over            | last      | 4        | 1.5   | 2.1  | send   | admitted last |
      | none holds it then          | last      | 4        | 1.5   | 2.1  | load   | refused       |
      | its caller leaves           | last      | 12       | 2     | 2.1  | send   | refused       |
      | it may have run             | last      | 10       | 2     | 0    | ran    | admitted      |
      | as before                   | as_others | 12       | 0     | 0    | late   | refused       |
      | as before, overdue          | as_others | 10       | 2     | 0    | send   | admitted      |
      | as before, it may have run  | as_others | 12       | 0     | 0    | ran    | admitted      |

  Scenario Outline: An engine has capacity left for overdue requests: <story>
    Guards against overdue prompts before those of timely requests.

    When <calls> calls run in 8 slots, and <unread> tokens are unread of a pace of 8000
    Then the engine has capacity left: <left>

    Examples:
      | story            | calls | unread | left |
      | idle             | 0     | 0      | yes  |
      | most slots taken | 6     | 4000   | yes  |
      | nearly full      | 7     | 0      | no   |
      | full             | 8     | 0      | no   |
      | prompts to read  | 1     | 4001   | no   |

  Scenario Outline: The queue is bounded by what was sent of late: <story>
    Guards against more callers that wait than can be served before they leave.

    Given overdue calls go "last"
    When <sent> waiting requests were sent within 2 s, and then 100 overdue requests come
    Then at most <most> and at least <least> of them wait, and the others are refused

    Examples:
      | story          | sent | least | most |
      | none was sent  | 0    | 2     | 2    |
      | some           | 8    | 3     | 12   |
      | very many      | 900  | 64    | 64   |

  Scenario: The most urgent waiting request gets the first slot, then the next deadline
    Guards against a queue in the order of arrival.

    Given overdue calls go "last"
    When requests wait with rank and deadline "2 5, 1 9, 1 7, 0 9", and one place is left
    Then they may go to an engine in the order "0 9, 1 7, 1 9, 2 5"

  Scenario: A caller that leaves gives up its place at once
    Guards against places that are held by nobody.

    Given overdue calls go "last"
    When a waiting request's caller leaves
    Then the next overdue request waits

  Scenario Outline: A refused caller is told when to come back: <left> s left
    Guards against callers that come back after they would have given up.

    Given overdue calls go "last"
    When 50 overdue requests with <left> s left are refused
    Then they are to come back within <most> s, and not all at once

    Examples:
      | left | most |
      | 9    | 3    |
      | 1.2  | 0.4  |

  Scenario Outline: An immediate retry goes after first attempts: <story>
    Guards against callers that gain by not waiting as they are told.

    Given overdue calls go "last"
    When a request was refused, and <after> s later the same comes with <spent> s spent
    Then it is <judged>

    Examples:
      | story              | after | spent | judged        |
      | immediate          | 0.1   | 0     | admitted last |
      | seen by its time   | 0.3   | 0.3   | admitted last |
      | it waited          | 0.7   | 0.7   | admitted      |
      | much later         | 6     | 0     | admitted      |

  Scenario Outline: An overdue request makes no adapter give way: <story>
    Guards against adapters of timely requests that are unloaded for requests which are
    late already.

    Given overdue calls go "last"
    When one comes whose adapter "<held>" hold, of engines a, b and c; "<idle>" are idle, "<free>" have free places
    Then it may go to "<engines>"

    Examples:
      | story                           | held | idle | free | engines |
      | a holder is idle                | a    | abc  | abc  | a       |
      | its holders are busy            | ab   | c    | c    | -       |
      | one of its holders is idle      | ab   | bc   | c    | b       |
      | none holds it, one has a place  | -    | ab   | bc   | b       |
      | none holds it, none has a place | -    | abc  | -    | -       |

  Scenario: A judgement takes little time
    Guards against judgements that cost a daemon more than a placement.

    Given overdue calls go "last"
    Then a judgement with 64 waiting requests takes at most 0.25 ms
