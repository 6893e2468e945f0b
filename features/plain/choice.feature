Feature: A plain request goes where it is expected to be answered first

  Scenario Outline: Routing by the coordinators' responses: <story>
    Guards against requests routed to a full or slow endpoint while others are idle.

    Given endpoints of 6 slots with <states>
    When a request of data centre d0 with an objective of 0.4 s is placed, <tried> tried
    Then it goes to <chosen>, and the first response suffices: <enough>

    Examples: running requests/expected ms/typical ms of each
      | story                          | states                  | tried | chosen | enough |
      | all idle                       | e0=0/90/90 e1=0/90/90   | none  | e0     | yes    |
      | near one busy                  | e0=5/90/90 e1=0/90/90   | none  | e0     | yes    |
      | near one full                  | e0=6/90/90 e1=0/90/90   | none  | e1     | no     |
      | near one in a slow period      | e0=2/200/95 e1=2/90/90  | none  | e1     | no     |
      | both in a slow period          | e0=2/200/95 e1=2/210/90 | none  | e0     | no     |
      | near one always slower         | e0=0/140/140 e1=0/90/90 | none  | e1     | no     |
      | little slower than the far one | e0=0/100/100 e1=0/90/90 | none  | e0     | yes    |
      | all full, one longer           | e0=14/90/90 e1=6/90/90  | none  | e1     | no     |
      | near one refused it            | e0=1/90/90 e1=4/90/90   | e0    | e1     | yes    |
      | the other one does not respond | e0=1/90/90 e1=?         | none  | e0     | no     |
      | near one full, other unknown   | e0=6/90/90 e1=?         | none  | e1     | no     |
      | no times known yet             | e0=1/0/0 e1=0/0/0       | none  | e0     | yes    |
      | near one fails its requests    | e0=0/10/10! e1=0/90/90  | none  | e1     | no     |

  Scenario Outline: The times that a coordinator expects at an endpoint: <story>
    Guards against a slow period that is not detected, or that is taken for a lasting one.

    Given a counter of an endpoint with 6 slots, 20 requests a second of 90 ms for 30 s
    When for <lasts> s they take <factor> times as long, and <since> s pass as before
    Then a request is expected to take <work> ms, typically <typical> ms

    Examples:
      | story                  | lasts | factor | since | work    | typical |
      | as usual               | 1.0   | 1.0    | 0     | 75-105  | 85-95   |
      | begin of a slow period | 0.3   | 2.5    | 0     | 110-300 | 85-110  |
      | end of a slow period   | 0.6   | 2.5    | 0     | 125-300 | 85-120  |
      | after a slow period    | 0.6   | 2.5    | 1.0   | 70-115  | 85-110  |
      | slow for long          | 20.0  | 2.0    | 0     | 140-220 | 140-180 |
      | fast again             | 20.0  | 2.0    | 30.0  | 80-105  | 85-110  |

  Scenario Outline: The requests running at an endpoint by daemons' reports: <story>
    Guards against counts that stay high after daemons are gone, or low when it is full.

    Given a counter of an endpoint with 6 slots
    When daemons report <reports>, and <after> s later <requester> requests the load
    Then <running> requests run there

    Examples:
      | story                        | reports     | after | requester | running |
      | nobody                       | nothing     | 0     | h9        | 0       |
      | two daemons                  | h1=2 h2=1   | 0     | h9        | 3       |
      | the last report counts       | h1=2 h1=1   | 0     | h9        | 1       |
      | the requester's are excluded | h1=2 h2=1   | 0     | h1        | 1       |
      | a daemon that is gone        | h1=2 gone=3 | 0     | h9        | 2       |
      | a daemon that is cut off     | h1=2        | 11    | h9        | 0       |
      | it refused a request         | h1=1 h2=0!  | 0     | h9        | 6       |
      | it refused one before        | h1=1 h2=0!  | 0.2   | h9        | 1       |
