"""Which engine a model request goes to, and where its adapter is loaded.

The load that this answers: thousands of adapters with few places an engine, most
calls on a few of them. An adapter has a home among the engines, by hashing, so that
its calls find it there and the engine's memory of adapters it held lately serves the
rest. A hot adapter gets a second home when its engines run ahead of the others.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from knapweedbridge_core.rendezvous import score
from knapweedbridge_core.serving.fleet import Endpoint, ModelRef

SPILL_CALLS = 6
"""Calls by which a holder may run ahead of the least loaded engine before a copy is
made there: one prompt's reading, about 50 ms, delays each call of the batch, and six
ahead are about 0.3 s, half the shortest objective."""

HOME_CALLS = 10
"""Calls by which a home may run ahead of the least loaded engine and still get a new
adapter: a load costs 0.25 s once, as much as about five prompts read before it."""

REMOTE_CALLS = 1.0
"""What another data centre counts as, in calls: bytes between them are paid for, and
a call ahead costs less time than the milliseconds of the way only when idle."""

FAILING_CALLS = 20.0
"""What an engine that fails all its calls counts as, in calls: more than any batch
holds on an ordinary day, so that it gets calls only when others are full."""


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


class HomePlacement(EnginePlacement):
    """Sends a call where its adapter is; loads it at its home."""

    def choose(
        self, ask: PlacementAsk, engines: list[Endpoint], now_s: float
    ) -> Choice:
        """See `EnginePlacement.choose`."""
        fresh = [each for each in engines if each.name not in ask.tried] or engines
        with_base = [each for each in fresh if ask.model.base in each.bases]
        if not with_base:
            return NoEngine()
        if not ask.model.adapter:
            return SendTo(min(with_base, key=lambda e: _load(e, ask, now_s)), None)
        least = min(each.calls for each in with_base)
        holders = [each for each in with_base if _holds(each, ask)]
        if not holders:
            return self._without_holder(ask, with_base, least, now_s)
        best = min(holders, key=lambda e: _arrival(e, ask, now_s))
        ready_s = best.held[ask.model].ready_s
        if ready_s > now_s:
            return WaitFor(best, ready_s)
        copy_to = None
        if best.calls - least >= SPILL_CALLS:
            copy_to = _home(ask, [e for e in with_base if e not in holders], least)
        return SendTo(best, _expected(best, ask), copy_to)

    @staticmethod
    def _without_holder(
        ask: PlacementAsk, engines: list[Endpoint], least: int, now_s: float
    ) -> Choice:
        home = _home(ask, engines, least)
        if ask.older_allowed:
            older = [e for e in engines if _ready(e, ask.model, now_s)]
            if older:
                best = min(older, key=lambda e: _load(e, ask, now_s))
                version = best.held[ask.model].version
                return SendTo(best, version or None, home)
        return LoadOn(home) if home is not None else NoEngine()


def _holds(endpoint: Endpoint, ask: PlacementAsk) -> bool:
    held = endpoint.held.get(ask.model)
    return held is not None and (ask.version is None or held.version >= ask.version)


def _ready(endpoint: Endpoint, model: ModelRef, now_s: float) -> bool:
    held = endpoint.held.get(model)
    return held is not None and held.ready_s <= now_s


def _expected(endpoint: Endpoint, ask: PlacementAsk) -> int | None:
    if ask.version is None:
        return None
    return endpoint.held[ask.model].version


def _load(endpoint: Endpoint, ask: PlacementAsk, now_s: float) -> float:
    remote = endpoint.record.data_centre != ask.data_centre
    failing = endpoint.failing_share(now_s)
    return endpoint.calls + REMOTE_CALLS * remote + FAILING_CALLS * failing


def _arrival(endpoint: Endpoint, ask: PlacementAsk, now_s: float) -> tuple[bool, float]:
    ready_s = endpoint.held[ask.model].ready_s
    return ready_s > now_s, _load(endpoint, ask, now_s)


def _home(ask: PlacementAsk, engines: list[Endpoint], least: int) -> Endpoint | None:
    """Return the first engine of the adapter's order that has room for it."""
    # An engine without an owner gets no orders: the next home takes its adapters
    # until one is found for it.
    owned = [each for each in engines if each.owner]
    with_place = [each for each in owned if each.places_free > 0] or owned
    calm = [each for each in with_place if each.calls - least <= HOME_CALLS]
    key = str(ask.model)
    return max(calm or with_place, key=lambda each: score(key, each.name), default=None)
