"""Which engine a model request goes to, and where its adapter is loaded.

The load that this answers: thousands of adapters with few places an engine, most
calls on a few of them. Each engine gets a price in seconds, and the call goes where
that is least. An engine that holds the adapter costs only what runs there; one that
held it lately has it in memory, and loads it in a tenth of the time; any other must
fetch it from the weight store, which costs time, and a share of what all fetch.
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
from knapweedbridge_core.serving.pause_cost import LATE_S, pause_cost_s
from knapweedbridge_core.serving.placement_choices import (
    Choice,
    LoadOn,
    NoEngine,
    PlacementAsk,
    SendTo,
    TooLate,
    WaitFor,
)
from knapweedbridge_core.serving.prompt_pacing import LONG_PROMPT_SHARE

UNREAD_S = 3e-5
"""What a token that is yet to be read speaks against an engine, besides the time until
it is read: prompts that come together pause the streams that run there."""

FULL_S = 0.6
"""What a full batch speaks against an engine: its calls share steps and memory, and the
next ones wait for a slot. It grows with the square of the part that is taken: engines
begin as soon with half of their slots taken as idle, and an empty one must not draw the
prompts of all daemons at once."""

REMOTE_S = 0.01
"""Another data centre: half a call ahead. The way takes 2 ms, its bytes are paid."""

FAILING_S = 2.0
"""An engine that fails all its calls: more than any wait that is still in time, so
that it gets calls only where nothing else is left."""

ORDERS_S = 0.01
"""Added to a load: the way of the wish to the owner, and one or two orders."""

RANKS = 8
"""Engines that an adapter is loaded on, by its own order of them: one more costs more
than waiting for a place on the first."""

FETCH_S = 0.25
"""Added to a fetch from the weight store: users pay for each about a third of what
an answer in time is worth, so the adapter's own engine may be slower by this."""

NO_PLACE_S = 0.3
"""An engine whose places are all in use: a call takes 1 to 2 s, and of twenty one
ends within this."""

WANT_S = 0.06
"""An adapter that is waited for there already: four are loaded at once, in 0.25 s."""

RANK_S = 0.06
"""A step in the adapter's own order of engines, as much as three calls: daemons that
miss an adapter at the same time, or after a restart, go to the same engine for it."""

ORDERS_KEPT = 256
"""Orders of engines that are remembered: a call that waits is placed again with each
change, some seven times, and hashing took half of a placement among 70 engines."""

COPY_S = 0.15
"""Wait by which an engine must run ahead of the least loaded one before a hot adapter
gets a copy there: a quarter of the shortest objective."""

COPY_USERS = 4
"""Calls on one adapter that make it hot: with fewer, a copy takes too little load
away to pay for its fetch."""


@dataclass(slots=True, frozen=True)
class _Offer:
    """One engine for a call.

    Parameters
    ----------
    expected_s : float
        Expected time to the first event.
    extra_s : float
        What else speaks against the engine, in seconds.
    load_s : float
        Part of the expected time that is for the adapter's load.
    """

    endpoint: Endpoint
    expected_s: float
    extra_s: float
    load_s: float = 0.0

    @property
    def price(self) -> tuple[float, str]:
        """What offers are compared by."""
        return self.expected_s + self.extra_s, self.endpoint.name


class EnginePlacement(ABC):
    """Chooses the engine of a call."""

    @abstractmethod
    def choose(
        self, ask: PlacementAsk, engines: list[Endpoint], now_s: float
    ) -> Choice:
        """Choose among engines that may take new work."""


class LeastCostPlacement(EnginePlacement):
    """Sends a call to the engine whose price is least.

    Parameters
    ----------
    rates : EngineRates, optional
        Forecasts the first events; by priors alone where none is given.
    times : LoadTimes, optional
        What is known of loads.
    """

    def __init__(
        self, rates: EngineRates | None = None, times: LoadTimes | None = None
    ) -> None:
        self.rates = rates or LearnedRates()
        self._times = times or LoadTimes()

    def choose(
        self, ask: PlacementAsk, engines: list[Endpoint], now_s: float
    ) -> Choice:
        """See `EnginePlacement.choose`."""
        fresh = engines
        if ask.tried:
            fresh = [each for each in engines if each.name not in ask.tried] or engines
        with_base = [each for each in fresh if ask.model.base in each.bases]
        if not with_base:
            return NoEngine()
        holders = [each for each in with_base if _holds(each, ask)]
        offers = [self._holder_offer(each, ask, now_s) for each in holders]
        loaders: list[Endpoint] = []
        if ask.model.adapter:
            loaders = _ranked(ask, with_base, holders, now_s)
            cold_s = self._cold_s(with_base, now_s)
            offers += [
                self._loader_offer(each, ask, now_s, cold_s, rank)
                for rank, each in enumerate(loaders)
            ]
        if not offers:
            return NoEngine()
        best = min(offers, key=lambda offer: offer.price)
        if best.endpoint in holders:
            choice: SendTo | WaitFor | LoadOn = self._on_holder(
                ask, best, loaders, now_s
            )
        else:
            able = [offer for offer in offers if offer.endpoint not in holders]
            older = self._older(ask, with_base, able, now_s)
            if older is not None:
                return older
            choice = LoadOn(best.endpoint)
        if best.expected_s > ask.patience_s:
            over_s = best.expected_s - ask.patience_s
            return TooLate(over_s, best.endpoint, choice, best.load_s)
        return choice

    def _on_holder(
        self, ask: PlacementAsk, best: _Offer, loaders: list[Endpoint], now_s: float
    ) -> SendTo | WaitFor:
        endpoint = best.endpoint
        held = endpoint.held.get(ask.model)
        if held is None:
            return SendTo(endpoint, None)
        if held.ready_s > now_s:
            return WaitFor(endpoint, held.ready_s)
        version = held.version if ask.versions is not None else None
        copy_to = None
        if held.users >= COPY_USERS and loaders:
            calmest = min(loaders, key=self._load_s)
            if self._load_s(endpoint) - self._load_s(calmest) >= COPY_S:
                copy_to = calmest
        return SendTo(endpoint, version, copy_to)

    def _older(
        self,
        ask: PlacementAsk,
        engines: list[Endpoint],
        loaders: list[_Offer],
        now_s: float,
    ) -> SendTo | None:
        """Send a call to an older version while another engine loads the newest."""
        older = [each for each in engines if self._serves_older(each, ask, now_s)]
        if not older:
            return None
        best = min(older, key=lambda each: self._running_s(each, ask, now_s))
        # The engine with the old version would replace it only when none runs.
        others = [offer for offer in loaders if offer.endpoint is not best]
        copy_to = (
            min(others, key=lambda offer: offer.price).endpoint if others else None
        )
        return SendTo(best, best.held[ask.model].version or None, copy_to)

    def _serves_older(
        self, endpoint: Endpoint, ask: PlacementAsk, now_s: float
    ) -> bool:
        held = endpoint.held.get(ask.model)
        if held is None or held.ready_s > now_s or ask.versions is None:
            return False
        first_s = self.rates.first_event_s(endpoint, ask.prompt_tokens, now_s)
        in_time = first_s <= ask.patience_s
        return in_time and ask.versions.serves(held.version, first_s)

    def _cold_s(self, engines: list[Endpoint], now_s: float) -> float:
        coming = sum(
            each.coming(now_s) for each in engines if each.loading_until_s > now_s
        )
        return self._times.load_s(coming + 1, len(engines))

    def _load_s(self, endpoint: Endpoint) -> float:
        """Return how much stands before one more call, in seconds."""
        reading_s = UNREAD_S * endpoint.unread_tokens + _batch_s(endpoint)
        return reading_s + self.rates.slot_wait_s(endpoint)

    def _running_s(self, endpoint: Endpoint, ask: PlacementAsk, now_s: float) -> float:
        first_s = self.rates.first_event_s(endpoint, ask.prompt_tokens, now_s)
        return first_s + self._against_s(endpoint, ask, now_s)

    def _against_s(self, endpoint: Endpoint, ask: PlacementAsk, now_s: float) -> float:
        remote = endpoint.record.data_centre != ask.data_centre
        failing_s = FAILING_S * endpoint.failing_share(now_s)
        spread_s = UNREAD_S * endpoint.unread_tokens + _batch_s(endpoint)
        late_s = self._late_s(endpoint, ask) + pause_cost_s(endpoint, ask, self.rates)
        return REMOTE_S * remote + spread_s + failing_s + late_s

    def _late_s(self, endpoint: Endpoint, ask: PlacementAsk) -> float:
        """Return what long prompts make late, in seconds of price.

        A long prompt pauses all streams of its engine, and each of them is late by
        that. So long prompts go where few calls run, and calls where few long prompts
        go: one engine of a small pool takes most of them, with few other calls.
        """
        if ask.prompt_tokens >= LONG_PROMPT_SHARE * endpoint.pace_tokens:
            return LATE_S * endpoint.calls
        hold_s = self.rates.hold_s(endpoint.record.service)
        return LATE_S * -math.expm1(-endpoint.long_prompts_per_s * hold_s)

    def _holder_offer(
        self, endpoint: Endpoint, ask: PlacementAsk, now_s: float
    ) -> _Offer:
        held = endpoint.held.get(ask.model)
        wait_s = max(0.0, held.ready_s - now_s) if held else 0.0
        first_s = self.rates.first_event_s(endpoint, ask.prompt_tokens, now_s)
        extra_s = self._against_s(endpoint, ask, now_s)
        return _Offer(endpoint, wait_s + first_s, extra_s, wait_s)

    def _loader_offer(
        self,
        endpoint: Endpoint,
        ask: PlacementAsk,
        now_s: float,
        cold_s: float,
        rank: int,
    ) -> _Offer:
        warm = ask.model in endpoint.recent
        load_s = ORDERS_S + (WARM_LOAD_S if warm else cold_s)
        # A version that is replaced must wait until no call runs on the old one.
        waits = int(ask.model in endpoint.held)
        if endpoint.has_recent_update(now_s):
            waits += endpoint.places_free <= 0
            load_s += WANT_S * endpoint.wants
        load_s += NO_PLACE_S * waits
        first_s = self.rates.first_event_s(endpoint, ask.prompt_tokens, now_s)
        extra_s = self._against_s(endpoint, ask, now_s) + RANK_S * rank
        extra_s += 0 if warm else FETCH_S
        return _Offer(endpoint, load_s + first_s, extra_s, load_s)


def _holds(endpoint: Endpoint, ask: PlacementAsk) -> bool:
    if not ask.model.adapter:
        return True
    held = endpoint.held.get(ask.model)
    newest = ask.versions.newest if ask.versions else 0
    return held is not None and held.version >= newest


def _batch_s(endpoint: Endpoint) -> float:
    taken = endpoint.calls / max(1, endpoint.record.slots)
    return FULL_S * taken * taken * speed_factor(endpoint.speed)


def _ranked(
    ask: PlacementAsk, engines: list[Endpoint], holders: list[Endpoint], now_s: float
) -> list[Endpoint]:
    """Return the first engines that can load it, in the adapter's own order."""
    # Of all engines, so that the order is remembered whichever of them hold it.
    names = tuple([each.record.endpoint for each in engines])
    by_name = dict(zip(names, engines, strict=True))
    # Without an owner that answers an engine gets no orders, for seconds.
    able = (by_name[name] for name in _order_of(str(ask.model), names))
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


@lru_cache(ORDERS_KEPT)
def _order_of(key: str, names: tuple[str, ...]) -> list[str]:
    return sorted(names, key=lambda name: score(key, name), reverse=True)
