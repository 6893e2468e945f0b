"""Simple policies that the product's is compared with."""

from knapweedbridge_core.rendezvous import score
from knapweedbridge_core.serving import (
    Endpoint,
    EnginePlacement,
    LoadOn,
    NoEngine,
    PlacementRequest,
    SendTo,
    WaitFor,
)
from knapweedbridge_core.serving.placement_choices import Choice


def _to(ask: PlacementRequest, endpoint: Endpoint, now_s: float) -> Choice:
    held = endpoint.held.get(ask.model)
    if not ask.model.adapter:
        return SendTo(endpoint, None)
    if held is None:
        return LoadOn(endpoint)
    if held.ready_s > now_s:
        return WaitFor(endpoint, held.ready_s)
    return SendTo(endpoint, None)


class HashedPlacement(EnginePlacement):
    """Sends all calls of an adapter to the engine that hashing names."""

    def choose(
        self, ask: PlacementRequest, engines: list[Endpoint], now_s: float
    ) -> Choice:
        """See `EnginePlacement.choose`."""
        if not engines:
            return NoEngine()
        key = str(ask.model)
        return _to(ask, max(engines, key=lambda each: score(key, each.name)), now_s)


class LeastCallsPlacement(EnginePlacement):
    """Sends a call where fewest run, and loads the adapter there."""

    def choose(
        self, ask: PlacementRequest, engines: list[Endpoint], now_s: float
    ) -> Choice:
        """See `EnginePlacement.choose`."""
        if not engines:
            return NoEngine()
        least = min(engines, key=lambda each: (each.calls, each.name))
        return _to(ask, least, now_s)
