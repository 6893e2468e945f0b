Feature: An adapter that serves a request is never evicted, whatever fails
  Histories of real cores, reproducible from a seed, on endpoints that check fencing
  numbers and on endpoints that ignore them. The invariants of each history: no adapter
  that serves a request is evicted, each request runs on the adapter it names, fencing
  numbers only rise and have one owner, each request gets at most one final answer.

  Scenario Outline: One failure, <endpoints> endpoints: <history>
    A daemon is killed, paused or cut off while grants are held or an order is in
    flight. Another one takes over its endpoints without knowing of either, and evicts
    an adapter that still serves; the caller's stream breaks in the middle.

    When the history "<history>" is run on <endpoints> endpoints
    Then no invariant was violated
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

  Scenario: A daemon restarted during a load does not displace other owners
    A daemon ends and starts again within seconds. It has no connection to a peer yet, so
    it takes itself for the only daemon and claims every endpoint under higher fencing
    numbers. The real owners do not notice: every view drops their updates from then on.
    Requests for the adapters on their endpoints wait until their deadlines.

    When a daemon is killed at 20 s and started again at 23 s
    Then no invariant was violated
    And no request waited over 30 s for an adapter that was loaded

  Scenario Outline: The key-value service is down for ten minutes, <endpoints> endpoints
    Leases cannot be renewed and no daemon can take over. Requests for loaded adapters are
    still answered, and free slots are filled; on endpoints that ignore fencing numbers
    nothing is evicted once the owner's lease has expired.

    When the key-value service is down for ten minutes, <endpoints> endpoints
    Then no invariant was violated
    And requests were answered until the end of the outage
    And adapters were evicted during the outage: <evicted>

    Examples:
      | endpoints | evicted |
      | ignoring  | no      |
      | checking  | yes     |

  Scenario Outline: Random faults that once violated an invariant, seed <seed>
    A daemon is paused and then cut off from its peers and from the key-value service. It
    takes no member for dead, as no news of a death reaches it. It gives its own callers
    grants on an endpoint that has had another owner for half a minute, and that owner
    evicts the adapters they use.

    When the history of random faults with seed <seed> is run on ignoring endpoints
    Then no invariant was violated

    Examples:
      | seed |
      | 1026 |
