"""Which plain endpoint a call goes to."""

from collections.abc import Mapping
from dataclasses import dataclass

from knapweedbridge_core.serving.endpoint import Endpoint
from knapweedbridge_core.serving.plain_load import PlainState

REMOTE_CALLS = 0.9
"""What another data centre counts as, in calls: of two with the same calls the near
one is taken, and one more call on the near one turns it round."""

FAILING_CALLS = 12.0
"""What an endpoint that fails all its calls counts as: twice the places of a small
endpoint, so that one with good health and bad answers is left for a while."""

REMOTE_SHARE = 0.05
"""What another data centre costs where all requests are counted, in objectives."""

TYPICAL_SHARE = 0.25
"""What a request takes while nobody knows, in objectives: enough for a queue to cost
something."""

FAILING_OBJECTIVES = 2.0
"""What an endpoint that fails all its requests costs, in objectives: failures come
sooner than answers, so its requests seem to take less time than elsewhere."""


@dataclass(slots=True, frozen=True)
class PlainAsk:
    """Where a call comes from and where it must not go again.

    Parameters
    ----------
    objective_s : float
        Time within which its answer should come.
    """

    data_centre: str
    tried: frozenset[str] = frozenset()
    objective_s: float = 0.0


def choose_plain(
    ask: PlainAsk, endpoints: list[Endpoint], now_s: float
) -> Endpoint | None:
    """Return the endpoint with the least before a call, or None without any."""
    fresh = [each for each in endpoints if each.name not in ask.tried]
    return min(
        fresh or endpoints, key=lambda each: _before(each, ask, now_s), default=None
    )


def _before(endpoint: Endpoint, ask: PlainAsk, now_s: float) -> float:
    remote = endpoint.record.data_centre != ask.data_centre
    calls = endpoint.own_calls / max(1, endpoint.record.slots) * 6
    failing = endpoint.failing_share(now_s)
    return calls + REMOTE_CALLS * remote + FAILING_CALLS * failing


PlainStates = Mapping[str, PlainState]
"""What the counting daemons told of endpoints, by endpoint."""


def is_clearly_best(
    ask: PlainAsk,
    endpoint: Endpoint,
    endpoints: list[Endpoint],
    states: PlainStates,
    now_s: float,
) -> bool:
    """Tell whether no other endpoint can be expected to answer sooner than this one.

    The others are taken to be idle and to have no slow period, so only where one of
    them could be better are their counting daemons asked as well.

    Parameters
    ----------
    states : mapping of str to PlainState
        Of this endpoint what was told just now, of the others what was told last.
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
    """Return the endpoint that is expected to answer first, or None without any.

    An endpoint of which nothing is told counts as running this daemon's requests alone,
    each taking as long as at the slowest of the others.
    """
    typical_s = TYPICAL_SHARE * ask.objective_s
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
    return FAILING_OBJECTIVES * ask.objective_s * endpoint.failing_share(now_s)


def _work_s(ask: PlainAsk, endpoint: Endpoint, work_s: float) -> float:
    remote = endpoint.record.data_centre != ask.data_centre
    return work_s + REMOTE_SHARE * ask.objective_s * remote
