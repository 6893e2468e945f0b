Feature: Limits and overload
  A host takes no more than can be answered in time, and the counter goes first.

  Scenario Outline: Twice as many requests as the engines can serve, <admission>
    A customer waits at the counter. All requests wait in one line in the engines,
    overnight summaries before counter look-ups, and most answers come too late.

    When twice the capacity is offered with "<admission>"
    Then goodput is <goodput> of the capacity
    And <part> of the interactive requests are answered in time

    Examples:
      | admission               | goodput       | part           |
      | first come first served | under 90%     | less than 10%  |
      | admission               | at least 90%  | at least 99%   |

  Scenario: No hopeless request is held back at twice the capacity
    Callers hear only near their deadline that they must come back, though their
    daemon could have told them seconds before.

    When twice the capacity is offered with "admission"
    Then no refused request was hopeless for longer than a tick

  Scenario: One team sends ten times as much as another of the same share
    Given a queue in which "optics" waits with 100 requests and "harbour" with 10
    When 20 requests are taken
    Then 10 of them are of "harbour"

  Scenario Outline: A waiting request becomes hopeless through <burst> more urgent ones
    A caller waits nearly its whole deadline to be told to come back. Look-ups that
    came after its request took all places that it could have had, and the daemon
    refused it only when there was no time left to run it.

    Given a daemon on which requests of 1 s fill all places
    When a "normal" request within 4 s waits, then <burst> look-ups
    Then the waiting request is <end>

    Examples:
      | burst | end                               |
      | 30    | refused in the event of the burst |
      | 2     | answered                          |

  Scenario: A request that cannot make its deadline is refused at its arrival
    Given a daemon on which requests of 1 s fill all places
    When 30 look-ups wait, and a "normal" request within 4 s arrives
    Then that request is refused in the event of its arrival

  Scenario: Priorities go before the order of arrival
    Given a queue with one "batch", one "normal" and one "interactive" request
    Then they are taken as "interactive normal batch"

  Scenario Outline: A key has its limit, in parts over the daemons
    Given a key with <rate> requests a second and <daemons> daemons
    When it sends <sent> requests in one second to one of them
    Then <taken> are taken, and the others are told when to come back

    Examples:
      | rate | daemons | sent | taken |
      | 10   | 1       | 50   | 10    |
      | 10   | 5       | 50   | 2     |
      | 0    | 5       | 50   | 50    |
