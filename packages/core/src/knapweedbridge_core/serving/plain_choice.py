"""Chooses the plain endpoint for a request."""

from collections.abc import Mapping
from dataclasses import dataclass

from knapweedbridge_core.serving.endpoint import Endpoint
from knapweedbridge_core.serving.plain_load import PlainState

REMOTE_COST_CALLS = 0.9
"""Cost of another data centre, in requests. The local one of two endpoints with equally
many requests is chosen, and one more request there reverses that."""

FAILING_COST_CALLS = 12.0
"""Cost of an endpoint that fails all requests, in requests: twice the slots of a small
endpoint, so that one which passes health checks but fails requests is avoided."""

REMOTE_COST_OBJECTIVES = 0.05
"""Cost of another data centre if all requests are counted, in objectives."""

DEFAULT_WORK_OBJECTIVES = 0.25
"""Assumed duration of a request while none is known, in objectives: large enough for a
queue to have a cost."""

FAILING_COST_OBJECTIVES = 2.0
"""Cost of an endpoint that fails all requests, in objectives. Errors arrive sooner than
responses, so its requests seem to take less time than elsewhere."""


@dataclass(slots=True, frozen=True)
class PlainAsk:
    """A request to a plain endpoint, as far as it matters to the choice.

    Parameters
    ----------
    data_centre : str
        Data centre of the daemon that sends it.
    tried : frozenset of str
        Endpoints that it was sent to before.
    objective_s : float
        Time within which the response should arrive.
    """

    data_centre: str
    tried: frozenset[str] = frozenset()
    objective_s: float = 0.0


def choose_plain(
    ask: PlainAsk, endpoints: list[Endpoint], now_s: float
) -> Endpoint | None:
    """Return the endpoint with the lowest cost, or None without any."""
    fresh = [each for each in endpoints if each.name not in ask.tried]
    return min(
        fresh or endpoints, key=lambda each: _load_cost(each, ask, now_s), default=None
    )


def _load_cost(endpoint: Endpoint, ask: PlainAsk, now_s: float) -> float:
    remote = endpoint.record.data_centre != ask.data_centre
    calls = endpoint.own_calls / max(1, endpoint.record.slots) * 6
    failing = endpoint.failing_share(now_s)
    return calls + REMOTE_COST_CALLS * remote + FAILING_COST_CALLS * failing


PlainStates = Mapping[str, PlainState]
"""States of endpoints as reported by their counting daemons, by endpoint."""


def is_clearly_best(
    ask: PlainAsk,
    endpoint: Endpoint,
    endpoints: list[Endpoint],
    states: PlainStates,
    now_s: float,
) -> bool:
    """Return whether no other endpoint can be expected to respond sooner.

    The others are assumed to be idle and in no slow period. Their counting daemons need
    to be asked only if one of them could be better.

    Parameters
    ----------
    states : mapping of str to PlainState
        The current state of this endpoint, and the last known states of the others.
    """
    state = states.get(endpoint.name)
    if state is None or _is_full(endpoint, state):
        return False
    own_s = _work_s(ask, endpoint, state.work_s) + _failing_s(ask, endpoint, now_s)
    for each in endpoints:
        if each is endpoint or each.name in ask.tried:
            continue
        known = states.get(each.name)
        if known is None or _work_s(ask, each, known.typical_s) < own_s:
            return False
    return True


def choose_counted(
    ask: PlainAsk, endpoints: list[Endpoint], states: PlainStates, now_s: float
) -> Endpoint | None:
    """Return the endpoint that is expected to respond first, or None without any.

    An endpoint without a known state is assumed to run only requests of this daemon,
    each taking as long as at the slowest of the others.
    """
    typical_s = DEFAULT_WORK_OBJECTIVES * ask.objective_s
    fresh = [each for each in endpoints if each.name not in ask.tried] or endpoints
    unknown_s = max((each.work_s for each in states.values()), default=0) or typical_s

    def cost(endpoint: Endpoint) -> tuple[bool, float]:
        state = states.get(endpoint.name) or PlainState(endpoint.own_calls, unknown_s)
        queued = max(0, state.running + 1 - endpoint.record.slots)
        request_s = state.work_s or unknown_s
        wait_s = request_s * queued / endpoint.record.slots
        work_s = _work_s(ask, endpoint, request_s)
        failing_s = _failing_s(ask, endpoint, now_s)
        return _is_full(endpoint, state), work_s + wait_s + failing_s

    return min(fresh, key=cost, default=None)


def _is_full(endpoint: Endpoint, state: PlainState) -> bool:
    return state.running >= endpoint.record.slots


def _failing_s(ask: PlainAsk, endpoint: Endpoint, now_s: float) -> float:
    return FAILING_COST_OBJECTIVES * ask.objective_s * endpoint.failing_share(now_s)


def _work_s(ask: PlainAsk, endpoint: Endpoint, work_s: float) -> float:
    remote = endpoint.record.data_centre != ask.data_centre
    return work_s + REMOTE_COST_OBJECTIVES * ask.objective_s * remote
