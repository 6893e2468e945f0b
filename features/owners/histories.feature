Feature: An adapter that serves is never evicted, whatever fails
  Histories of real cores, replayed from a seed, on endpoints that check fencing
  numbers and on those that ignore them. In each: no adapter that serves is evicted,
  each request runs on the adapter it names, fencing numbers only rise and have one
  owner, each request gets at most one final answer.

  Scenario Outline: One failure, <endpoints> endpoints: <history>
    A daemon is killed, sleeps, or is cut off while grants are out or an order is on
    its way. Another takes its endpoints over, knowing nothing. A caller sees its
    answer break in the middle because the slot it runs on is emptied.

    When the history "<history>" is run on <endpoints> endpoints
    Then no promise was broken
    And adapters were evicted and requests answered

    Examples:
      | history               | endpoints |
      | owner_killed          | ignoring  |
      | owner_killed          | checking  |
      | holder_killed         | ignoring  |
      | holder_killed         | checking  |
      | holder_paused         | ignoring  |
      | holder_paused         | checking  |
      | restarted_alone       | ignoring  |
      | restarted_alone       | checking  |
      | order_in_transit      | ignoring  |
      | order_in_transit      | checking  |
      | reports_lag           | ignoring  |
      | reports_lag           | checking  |
      | minority_cut          | ignoring  |
      | minority_cut          | checking  |
      | owner_paused_in_order | ignoring  |
      | owner_paused_in_order | checking  |
      | owner_paused          | ignoring  |
      | owner_paused          | checking  |
      | owner_isolated        | ignoring  |
      | owner_isolated        | checking  |
      | handed_over           | ignoring  |
      | handed_over           | checking  |
      | claims_lost           | ignoring  |
      | claims_lost           | checking  |

  Scenario: A daemon restarted in mid-load does not shut out what others own
    A daemon ends and starts again within seconds. It has no link yet, so it takes
    itself for the only daemon and claims every endpoint under higher numbers. Those
    that owned them do not notice: every view drops their word from then on, and
    requests for what they hold wait until their deadline.

    When a daemon is killed at 20 s and started again at 23 s
    Then no promise was broken
    And no request waited over 30 s for an adapter that was loaded

  Scenario Outline: The service is down for ten minutes, <endpoints> endpoints
    Leases cannot be renewed and nobody can take over. Requests for loaded adapters
    are answered all the same, and free slots are filled; on endpoints that ignore
    fencing numbers nothing is evicted once the owner's lease has lapsed.

    When the service is down for ten minutes, <endpoints> endpoints
    Then no promise was broken
    And requests were answered until the end of the outage
    And adapters were evicted during the outage: <evicted>

    Examples:
      | endpoints | evicted |
      | ignoring  | no      |
      | checking  | yes     |

  Scenario Outline: Faults by chance that once broke a promise, seed <seed>
    A daemon sleeps, is cut off from its peers and the service, and takes nobody for
    dead, as it hears of nobody's death. It gives its own callers grants on an
    endpoint that has had another owner for half a minute, who evicts what they use.

    When the history of faults by chance with seed <seed> is run on ignoring endpoints
    Then no promise was broken

    Examples:
      | seed |
      | 1026 |
