Feature: Limits and overload
  A host admits only what can be answered in time, and interactive requests go first.

  Scenario Outline: Twice as many requests as the engines can serve, <admission>
    Interactive requests time out. All requests wait in one queue in the engines, batch
    requests ahead of interactive ones, and most answers come too late.

    When twice the capacity is offered with "<admission>"
    Then goodput is <goodput> of the capacity
    And <part> of the interactive requests are answered in time

    Examples:
      | admission               | goodput       | part           |
      | first come first served | under 90%     | less than 10%  |
      | admission               | at least 90%  | at least 99%   |

  Scenario: Infeasible requests are refused at once at twice the capacity
    Callers learn only near their deadline that they must retry later, although their
    daemon could have refused them seconds before.

    When twice the capacity is offered with "admission"
    Then no refused request was infeasible for longer than a tick

  Scenario: One team sends ten times as much as another of the same share
    Given a queue in which "optics" waits with 100 requests and "harbour" with 10
    When 20 requests are popped
    Then 10 of them are of "harbour"

  Scenario Outline: A waiting request becomes infeasible through <burst> more urgent ones
    A caller waits nearly until its deadline before it is refused. Interactive requests
    that arrived later took all the capacity that it could have had, and the daemon
    refused it only when there was no time left to run it.

    Given a daemon at its concurrency limit with requests of 1 s
    When a "normal" request within 4 s waits, then <burst> interactive ones arrive
    Then the waiting request is <end>

    Examples:
      | burst | end                               |
      | 30    | refused in the event of the burst |
      | 2     | answered                          |

  Scenario: A request that cannot meet its deadline is refused on arrival
    Given a daemon at its concurrency limit with requests of 1 s
    When 30 interactive requests wait, and a "normal" request within 4 s arrives
    Then that request is refused in the event of its arrival

  Scenario: Priority goes before the order of arrival
    Given a queue with one "batch", one "normal" and one "interactive" request
    Then they are popped as "interactive normal batch"

  Scenario Outline: The limit of a key is divided among the daemons
    Given a key with <rate> requests a second and <daemons> daemons
    When it sends <sent> requests in one second to one of them
    Then <taken> are admitted, and the others are told when to retry

    Examples:
      | rate | daemons | sent | taken |
      | 10   | 1       | 50   | 10    |
      | 10   | 5       | 50   | 2     |
      | 0    | 5       | 50   | 50    |
