"""Choice of the engine for a model request, and of where its adapter is loaded.

The expected load is thousands of adapters, few adapter places per engine, and most
calls on a few adapters. Each engine gets a cost in seconds, and the call goes to the
engine with the least. An engine that holds the adapter costs only the work that runs
there. One that held it recently still has it in memory and loads it in a tenth of the
time. Any other fetches it from the weight store, which takes time and bandwidth that
all fetches share.
"""

import math
from abc import ABC, abstractmethod
from dataclasses import dataclass
from functools import lru_cache
from itertools import islice

from knapweedbridge_core.rendezvous import score
from knapweedbridge_core.serving.endpoint import Endpoint
from knapweedbridge_core.serving.engine_rates import EngineRates, LearnedRates
from knapweedbridge_core.serving.engine_speed import speed_factor
from knapweedbridge_core.serving.load_times import WARM_LOAD_S, LoadTimes
from knapweedbridge_core.serving.pause_cost import LATE_COST_S, pause_cost_s
from knapweedbridge_core.serving.placement_choices import (
    Choice,
    LoadOn,
    NoEngine,
    PlacementRequest,
    SendTo,
    TooLate,
    WaitFor,
)
from knapweedbridge_core.serving.prompt_pacing import LONG_PROMPT_SHARE

UNREAD_TOKEN_COST_S = 3e-5
"""Cost of each unread prompt token on an engine, besides the time until it is read:
prompts that arrive together pause the streams that run there."""

FULL_BATCH_COST_S = 0.6
"""Cost of a full batch: its calls share steps and memory, and the next ones wait for a
slot. It grows with the square of the share of slots in use: first events come as
soon with half of the slots in use as with none, and an idle engine must not attract
the prompts of all daemons at once."""

REMOTE_COST_S = 0.01
"""Cost of an engine in another data centre, half a call: the latency is 2 ms, and the
traffic is billed."""

FAILING_COST_S = 2.0
"""Cost of an engine that fails all its calls: longer than any wait that is still in
time, so that it gets calls only where no other engine is left."""

ORDER_DELAY_S = 0.01
"""Added to a load: time for the request to the owner and for one or two orders."""

RANKS = 8
"""Engines considered for loading an adapter, in the adapter's own ranking: one more
costs more than waiting for a place on the first."""

FETCH_COST_S = 0.25
"""Cost of a fetch from the weight store: users pay for each about a third of what an
answer in time is worth, so the adapter's own engine may be slower by this."""

NO_PLACE_WAIT_S = 0.3
"""Expected wait for a place on an engine whose places are all in use: calls take 1 to 2
s, and one of twenty ends within this time."""

QUEUED_LOAD_S = 0.06
"""Added for each adapter that already waits for a load there: four are loaded at once,
in 0.25 s."""

RANK_COST_S = 0.06
"""Cost of each step in the adapter's ranking of engines, as much as three calls:
daemons that miss an adapter at the same time, or after a restart, choose the same
engine for it."""

RANKINGS_CACHED = 256
"""Rankings kept in the cache: a waiting call is placed again on each change, about
seven times, and hashing took half of a placement among 70 engines."""

COPY_LEAD_S = 0.15
"""How much busier than the least busy engine one must be before a hot adapter gets a
copy there: a quarter of the shortest objective."""

COPY_MIN_CALLS = 4
"""Calls on an adapter from which on it counts as hot: with fewer, a copy moves too
little load to pay for its fetch."""


@dataclass(slots=True, frozen=True)
class _Candidate:
    """An engine considered for a call.

    Parameters
    ----------
    expected_s : float
        Expected time to the first event.
    penalty_s : float
        Other costs of the engine, in seconds.
    load_s : float
        Part of the expected time that is spent on loading the adapter.
    """

    endpoint: Endpoint
    expected_s: float
    penalty_s: float
    load_s: float = 0.0

    @property
    def cost(self) -> tuple[float, str]:
        """Sort key of candidates."""
        return self.expected_s + self.penalty_s, self.endpoint.name


class EnginePlacement(ABC):
    """Chooses the engine for a call."""

    @abstractmethod
    def choose(
        self, ask: PlacementRequest, engines: list[Endpoint], now_s: float
    ) -> Choice:
        """Choose among engines that accept new work."""


class LeastCostPlacement(EnginePlacement):
    """Sends a call to the engine with the least cost.

    Parameters
    ----------
    rates : EngineRates, optional
        Forecasts first events; only by priors if not given.
    times : LoadTimes, optional
        Known load times of adapters.
    """

    def __init__(
        self, rates: EngineRates | None = None, times: LoadTimes | None = None
    ) -> None:
        self.rates = rates or LearnedRates()
        self._times = times or LoadTimes()

    def choose(
        self, ask: PlacementRequest, engines: list[Endpoint], now_s: float
    ) -> Choice:
        """See `EnginePlacement.choose`."""
        untried = engines
        if ask.tried:
            untried = [
                each for each in engines if each.name not in ask.tried
            ] or engines
        with_base = [each for each in untried if ask.model.base in each.bases]
        if not with_base:
            return NoEngine()
        holders = [each for each in with_base if _holds(each, ask)]
        candidates = [self._holder_candidate(each, ask, now_s) for each in holders]
        loaders: list[Endpoint] = []
        if ask.model.adapter:
            loaders = _ranked_loaders(ask, with_base, holders, now_s)
            cold_s = self._cold_s(with_base, now_s)
            candidates += [
                self._loader_candidate(each, ask, now_s, cold_s, rank)
                for rank, each in enumerate(loaders)
            ]
        if not candidates:
            return NoEngine()
        best = min(candidates, key=lambda candidate: candidate.cost)
        if best.endpoint in holders:
            choice: SendTo | WaitFor | LoadOn = self._place_on_holder(
                ask, best, loaders, now_s
            )
        else:
            able = [
                candidate
                for candidate in candidates
                if candidate.endpoint not in holders
            ]
            older = self._older_version(ask, with_base, able, now_s)
            if older is not None:
                return older
            choice = LoadOn(best.endpoint)
        if best.expected_s > ask.max_wait_s:
            over_s = best.expected_s - ask.max_wait_s
            return TooLate(over_s, best.endpoint, choice, best.load_s)
        return choice

    def _place_on_holder(
        self,
        ask: PlacementRequest,
        best: _Candidate,
        loaders: list[Endpoint],
        now_s: float,
    ) -> SendTo | WaitFor:
        endpoint = best.endpoint
        held = endpoint.held.get(ask.model)
        if held is None:
            return SendTo(endpoint, None)
        if held.ready_s > now_s:
            return WaitFor(endpoint, held.ready_s)
        version = held.version if ask.versions is not None else None
        copy_to = None
        if held.users >= COPY_MIN_CALLS and loaders:
            least_busy = min(loaders, key=self._busy_s)
            if self._busy_s(endpoint) - self._busy_s(least_busy) >= COPY_LEAD_S:
                copy_to = least_busy
        return SendTo(endpoint, version, copy_to)

    def _older_version(
        self,
        ask: PlacementRequest,
        engines: list[Endpoint],
        loaders: list[_Candidate],
        now_s: float,
    ) -> SendTo | None:
        """Send a call to an older version while another engine loads the newest."""
        older = [each for each in engines if self._may_serve_older(each, ask, now_s)]
        if not older:
            return None
        best = min(older, key=lambda each: self._cost_s(each, ask, now_s))
        # An engine replaces an old version only once no call runs on it.
        others = [candidate for candidate in loaders if candidate.endpoint is not best]
        copy_to = (
            min(others, key=lambda candidate: candidate.cost).endpoint
            if others
            else None
        )
        return SendTo(best, best.held[ask.model].version or None, copy_to)

    def _may_serve_older(
        self, endpoint: Endpoint, ask: PlacementRequest, now_s: float
    ) -> bool:
        held = endpoint.held.get(ask.model)
        if held is None or held.ready_s > now_s or ask.versions is None:
            return False
        first_s = self.rates.first_event_s(endpoint, ask.prompt_tokens, now_s)
        in_time = first_s <= ask.max_wait_s
        return in_time and ask.versions.serves(held.version, first_s)

    def _cold_s(self, engines: list[Endpoint], now_s: float) -> float:
        coming = sum(
            each.coming(now_s) for each in engines if each.loading_until_s > now_s
        )
        return self._times.load_s(coming + 1, len(engines))

    def _busy_s(self, endpoint: Endpoint) -> float:
        """Return the work ahead of a further call, in seconds."""
        reading_s = UNREAD_TOKEN_COST_S * endpoint.unread_tokens + _batch_s(endpoint)
        return reading_s + self.rates.slot_wait_s(endpoint)

    def _cost_s(self, endpoint: Endpoint, ask: PlacementRequest, now_s: float) -> float:
        first_s = self.rates.first_event_s(endpoint, ask.prompt_tokens, now_s)
        return first_s + self._penalty_s(endpoint, ask, now_s)

    def _penalty_s(
        self, endpoint: Endpoint, ask: PlacementRequest, now_s: float
    ) -> float:
        remote = endpoint.record.data_centre != ask.data_centre
        failing_s = FAILING_COST_S * endpoint.failing_share(now_s)
        busy_s = UNREAD_TOKEN_COST_S * endpoint.unread_tokens + _batch_s(endpoint)
        late_s = self._late_s(endpoint, ask) + pause_cost_s(endpoint, ask, self.rates)
        return REMOTE_COST_S * remote + busy_s + failing_s + late_s

    def _late_s(self, endpoint: Endpoint, ask: PlacementRequest) -> float:
        """Return the cost of streams that long prompts delay, in seconds.

        A long prompt pauses all streams of its engine and delays each of them by as
        much. So long prompts go where few calls run, and other calls where few long
        prompts go: one engine of a small pool takes most of the long prompts, with few
        other calls.
        """
        if ask.prompt_tokens >= LONG_PROMPT_SHARE * endpoint.pace_tokens:
            return LATE_COST_S * endpoint.calls
        hold_s = self.rates.hold_s(endpoint.record.service)
        return LATE_COST_S * -math.expm1(-endpoint.long_prompts_per_s * hold_s)

    def _holder_candidate(
        self, endpoint: Endpoint, ask: PlacementRequest, now_s: float
    ) -> _Candidate:
        held = endpoint.held.get(ask.model)
        wait_s = max(0.0, held.ready_s - now_s) if held else 0.0
        first_s = self.rates.first_event_s(endpoint, ask.prompt_tokens, now_s)
        penalty_s = self._penalty_s(endpoint, ask, now_s)
        return _Candidate(endpoint, wait_s + first_s, penalty_s, wait_s)

    def _loader_candidate(
        self,
        endpoint: Endpoint,
        ask: PlacementRequest,
        now_s: float,
        cold_s: float,
        rank: int,
    ) -> _Candidate:
        warm = ask.model in endpoint.recent
        load_s = ORDER_DELAY_S + (WARM_LOAD_S if warm else cold_s)
        # A replacement waits until no call runs on the old version.
        waits = int(ask.model in endpoint.held)
        if endpoint.has_recent_update(now_s):
            waits += endpoint.places_free <= 0
            load_s += QUEUED_LOAD_S * endpoint.wants
        load_s += NO_PLACE_WAIT_S * waits
        first_s = self.rates.first_event_s(endpoint, ask.prompt_tokens, now_s)
        penalty_s = self._penalty_s(endpoint, ask, now_s) + RANK_COST_S * rank
        penalty_s += 0 if warm else FETCH_COST_S
        return _Candidate(endpoint, load_s + first_s, penalty_s, load_s)


def _holds(endpoint: Endpoint, ask: PlacementRequest) -> bool:
    if not ask.model.adapter:
        return True
    held = endpoint.held.get(ask.model)
    newest = ask.versions.newest if ask.versions else 0
    return held is not None and held.version >= newest


def _batch_s(endpoint: Endpoint) -> float:
    used_share = endpoint.calls / max(1, endpoint.record.slots)
    return FULL_BATCH_COST_S * used_share * used_share * speed_factor(endpoint.speed)


def _ranked_loaders(
    ask: PlacementRequest,
    engines: list[Endpoint],
    holders: list[Endpoint],
    now_s: float,
) -> list[Endpoint]:
    """Return the first engines that can load the adapter, in its own ranking."""
    # Ranks all engines, so that the cache entry doesn't depend on who holds it.
    names = tuple([each.record.endpoint for each in engines])
    by_name = dict(zip(names, engines, strict=True))
    # An engine whose owner doesn't respond gets no orders for seconds.
    able = (by_name[name] for name in _ranking(str(ask.model), names))
    return list(
        islice(
            (
                each
                for each in able
                if each.owner
                and each not in holders
                and not each.has_silent_owner(now_s)
            ),
            RANKS,
        )
    )


@lru_cache(RANKINGS_CACHED)
def _ranking(key: str, names: tuple[str, ...]) -> list[str]:
    return sorted(names, key=lambda name: score(key, name), reverse=True)
