Feature: What a daemon tells of itself
  Logs never stand in the way of serving, and metrics and the command agree with them.

  Scenario Outline: A standard output that <fault> does not stop the daemon
    A daemon stood still: who read its standard output had stopped reading.

    Given a log whose output <fault>
    When 20000 lines are logged
    Then no write waited, and lost lines were counted

    Examples:
      | fault               |
      | is read by nobody   |
      | was closed          |

  Scenario: A kind of line that comes too often is thinned out
    Under overload the lines of refusals took more processor time than serving.

    Given a log of 5 lines a second of a kind
    When 50 lines of one kind and 1 of another are logged
    Then 6 lines are written, and 45 counted as lost

  Scenario: Metrics are served as text with bounded labels
    When calls, attempts and durations were measured
    Then the page holds each counter and histogram once

  Scenario Outline: The command explains a call: <case>
    Given logs of two hosts with a call that waited for an engine
    When the command explains "<id>"
    Then it ends with <code> and shows "<shown>"

    Examples:
      | case              | id    | code | shown                         |
      | a known call      | c1    | 0    | request.ended                 |
      | the owner's lines | c1    | 0    | engine.stuck                  |
      | another's lines   | c1    | 0    | not other-engine              |
      | an unknown call   | c9    | 7    | no line of request c9         |

  Scenario Outline: The command tells where answers in time were lost: <case>
    Users called a heavy hour slow; nobody could say whether first events came late,
    texts stopped, or callers were sent away.

    Given logs of calls in time, late by a first event, by a pause, and refused
    When the command counts the losses with "<options>"
    Then it ends with <code> and shows "<text>"

    Examples:
      | case               | options      | code | text                                          |
      | by route           |              | 0    | draft        1                  1            1           1 |
      | another bound      | --pause-s 1  | 0    | draft        2                  1           1 |
      | a bad length       | --every-s 0  | 64   | --every-s must be above 0                     |
      | no logs            | elsewhere    | 7    | no line tells how a call ended                |

  Scenario Outline: How long callers suffered is told from the logs: <story>
    All hosts lost their power. On-call engineers saw from the counts of the whole day
    that calls were lost, and not for how long, nor what their callers got meanwhile.

    Given calls of 20 s, 20 a second, of which <what> from second 10 to <until>
    When dips are looked for
    Then <found>

    Examples:
      | story           | what                 | until | found                            |
      | a short one     | all are cut          | 12    | one lasts 2 s, with 40 cut       |
      | half is lost    | every second is cut  | 13    | one lasts 3 s, with 30 cut       |
      | never back      | all are cut          | 20    | one lasts 10 s, with 200 cut     |
      | nothing         | none is cut          | 20    | there is none                    |
      | one call        | the first is cut     | 20    | there is none                    |
