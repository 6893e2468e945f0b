"""Which engine a model request goes to, and where its adapter is loaded.

The load that this answers: thousands of adapters with few places an engine, most
calls on a few of them. Each engine gets a price in seconds, and the call goes where
that is least. An engine that holds the adapter costs only what runs there; one that
held it lately has it in memory, and loads it in a tenth of the time; any other must
fetch it from the weight store, which costs time, and a share of what all fetch.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from knapweedbridge_core.rendezvous import score
from knapweedbridge_core.serving.fleet import Endpoint, ModelRef

CALL_S = 0.02
"""What a call that runs there costs the next: its prompt's reading, some 50 ms, is
in the way of the first event with a chance of about two in five."""

REMOTE_S = 0.01
"""Another data centre: half a call ahead. The way takes 2 ms, its bytes are paid."""

FAILING_S = 2.0
"""An engine that fails all its calls: more than any wait that is still in time, so
that it gets calls only where nothing else is left."""

WARM_S = 0.035
"""A load from the engine's own memory, with the two orders it takes."""

COLD_S = 0.26
"""A load from the weight store, with its orders, while few are on their way."""

COLD_AT_ONCE = 8
"""Loads that the weight store serves at full speed; beyond, each takes longer in
proportion."""

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

COPY_CALLS = 8
"""Calls by which an engine must run ahead of the least loaded one before a hot adapter
gets a copy there: some 0.2 s more before a first event, a third of an objective."""

COPY_USERS = 4
"""Calls on one adapter that make it hot: with fewer, a copy takes too little load
away to pay for its fetch."""


@dataclass(slots=True, frozen=True)
class PlacementAsk:
    """What one call wants of an engine.

    Parameters
    ----------
    model : ModelRef
        Base model, or an adapter of it.
    version : int or None
        Newest version named for the adapter; None: any.
    older_allowed : bool
        Whether an older version may still serve it.
    data_centre : str
        Where the daemon stands.
    tried : frozenset of str
        Endpoints that refused or failed it.
    """

    model: ModelRef
    version: int | None
    older_allowed: bool
    data_centre: str
    tried: frozenset[str] = frozenset()


@dataclass(slots=True, frozen=True)
class SendTo:
    """The engine holds the model: send the call there.

    Parameters
    ----------
    endpoint : Endpoint
        Where to.
    version : int or None
        Version that the engine must run it on; None: any.
    copy_to : Endpoint or None
        Engine that should load a copy, for calls to come.
    """

    endpoint: Endpoint
    version: int | None
    copy_to: Endpoint | None = None


@dataclass(slots=True, frozen=True)
class WaitFor:
    """The model is on its way to an engine: wait until then.

    Parameters
    ----------
    ready_s : float
        When it is expected there, on the daemon's clock.
    """

    endpoint: Endpoint
    ready_s: float


@dataclass(slots=True, frozen=True)
class LoadOn:
    """No engine holds the model: its owner is to load it."""

    endpoint: Endpoint


@dataclass(slots=True, frozen=True)
class NoEngine:
    """No engine can hold the model now."""


Choice = SendTo | WaitFor | LoadOn | NoEngine


class EnginePlacement(ABC):
    """Chooses the engine of a call."""

    @abstractmethod
    def choose(
        self, ask: PlacementAsk, engines: list[Endpoint], now_s: float
    ) -> Choice:
        """Choose among engines that may take new work."""


class PricedPlacement(EnginePlacement):
    """Sends a call to the engine whose price is least."""

    def choose(
        self, ask: PlacementAsk, engines: list[Endpoint], now_s: float
    ) -> Choice:
        """See `EnginePlacement.choose`."""
        fresh = [each for each in engines if each.name not in ask.tried] or engines
        with_base = [each for each in fresh if ask.model.base in each.bases]
        if not with_base:
            return NoEngine()
        if not ask.model.adapter:
            return SendTo(min(with_base, key=lambda e: _running_s(e, ask, now_s)), None)
        holders = [each for each in with_base if _holds(each, ask)]
        load_s = _cold_s(with_base, now_s)
        others = [each for each in with_base if each not in holders]
        loaders = _ranked(ask, others, now_s)
        prices = [(_holder_s(each, ask, now_s), each.name, each) for each in holders]
        prices += [
            (_loader_s(each, ask, now_s, load_s) + RANK_S * rank, each.name, each)
            for rank, each in enumerate(loaders)
        ]
        if not prices:
            return NoEngine()
        best = min(prices)[2]
        if best in holders:
            return self._on_holder(ask, best, loaders, with_base, now_s)
        older = self._older(ask, with_base, best, now_s)
        return older or LoadOn(best)

    @staticmethod
    def _on_holder(
        ask: PlacementAsk,
        best: Endpoint,
        loaders: list[Endpoint],
        engines: list[Endpoint],
        now_s: float,
    ) -> Choice:
        held = best.held[ask.model]
        if held.ready_s > now_s:
            return WaitFor(best, held.ready_s)
        version = held.version if ask.version is not None else None
        ahead = best.calls - min(each.calls for each in engines)
        copy_to = None
        if ahead >= COPY_CALLS and held.users >= COPY_USERS and loaders:
            copy_to = min(loaders, key=lambda each: _running_s(each, ask, now_s))
        return SendTo(best, version, copy_to)

    @staticmethod
    def _older(
        ask: PlacementAsk, engines: list[Endpoint], loader: Endpoint, now_s: float
    ) -> SendTo | None:
        if not ask.older_allowed:
            return None
        older = [each for each in engines if _is_ready(each, ask.model, now_s)]
        if not older:
            return None
        best = min(older, key=lambda each: _running_s(each, ask, now_s))
        # The engine with the old version would replace it only when none runs.
        copy_to = loader if loader is not best else None
        return SendTo(best, best.held[ask.model].version or None, copy_to)


def _holds(endpoint: Endpoint, ask: PlacementAsk) -> bool:
    held = endpoint.held.get(ask.model)
    return held is not None and (ask.version is None or held.version >= ask.version)


def _is_ready(endpoint: Endpoint, model: ModelRef, now_s: float) -> bool:
    held = endpoint.held.get(model)
    return held is not None and held.ready_s <= now_s


def _running_s(endpoint: Endpoint, ask: PlacementAsk, now_s: float) -> float:
    remote = endpoint.record.data_centre != ask.data_centre
    failing = endpoint.failing_share(now_s)
    return CALL_S * endpoint.calls + REMOTE_S * remote + FAILING_S * failing


def _holder_s(endpoint: Endpoint, ask: PlacementAsk, now_s: float) -> float:
    wait_s = max(0.0, endpoint.held[ask.model].ready_s - now_s)
    return wait_s + _running_s(endpoint, ask, now_s)


def _loader_s(
    endpoint: Endpoint, ask: PlacementAsk, now_s: float, cold_s: float
) -> float:
    load_s = WARM_S if ask.model in endpoint.recent else cold_s + FETCH_S
    full = endpoint.places_free <= 0
    # A version that is replaced must wait until no call runs on the old one.
    replaces = ask.model in endpoint.held
    extra_s = NO_PLACE_S * full + NO_PLACE_S * replaces + WANT_S * endpoint.wants
    return load_s + extra_s + _running_s(endpoint, ask, now_s)


def _cold_s(engines: list[Endpoint], now_s: float) -> float:
    coming = sum(each.coming(now_s) for each in engines)
    return COLD_S * max(1.0, (coming + 1) / COLD_AT_ONCE)


def _ranked(ask: PlacementAsk, engines: list[Endpoint], now_s: float) -> list[Endpoint]:
    """Return the engines that can get orders, in the adapter's own order."""
    # Without an owner that answers an engine gets no orders, for seconds.
    able = [each for each in engines if each.owner and not each.has_silent_owner(now_s)]
    key = str(ask.model)
    return sorted(able, key=lambda each: score(key, each.name), reverse=True)
