"""A model engine of a history: slots, streams, orders, lagging reports."""

from collections.abc import Callable
from dataclasses import dataclass, field

from knapweedbridge_core.actions import OrderEndpoint
from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_standins.history.checker import Checker


@dataclass(slots=True)
class Stream:
    """One running request."""

    model: AdapterVersion
    broken: Callable[[], None]


@dataclass(slots=True)
class FakeEngine:
    """One engine.

    Parameters
    ----------
    slots : int
        Adapters it can hold.
    checks_fencing : bool
        Whether an order with an old fencing number is refused.
    load_s : float
        Duration of a load, in seconds.
    lose_replies : int
        This many next orders take effect and are not answered.
    """

    name: str
    slots: int
    checks_fencing: bool
    checker: Checker
    load_s: float = 0.5
    lose_replies: int = 0
    loaded: set[AdapterVersion] = field(default_factory=set)
    loading: set[AdapterVersion] = field(default_factory=set)
    streams: dict[str, Stream] = field(default_factory=dict)
    highest_number: int = 0
    refused_orders: int = 0

    def accepts(self, number: int) -> bool:
        """Tell whether an order's number is in force, and note it."""
        if self.checks_fencing and number < self.highest_number:
            self.refused_orders += 1
            return False
        self.highest_number = max(self.highest_number, number)
        return True

    def begin_load(self, order: OrderEndpoint) -> bool:
        """Take a slot for a load; False where the order is refused."""
        if not self.accepts(order.number):
            return False
        full = len(self.loaded) + len(self.loading) >= self.slots
        if order.model in self.loaded or order.model in self.loading:
            return order.model in self.loaded
        if full:
            return False
        self.loading.add(order.model)
        return True

    def end_load(self, model: AdapterVersion) -> None:
        """Offer what was loaded."""
        if model in self.loading:
            self.loading.discard(model)
            self.loaded.add(model)

    def evict(self, order: OrderEndpoint, now_s: float) -> bool:
        """Empty a slot, whatever runs on it."""
        if not self.accepts(order.number):
            return False
        if order.model not in self.loaded:
            return True
        cut = [key for key, held in self.streams.items() if held.model == order.model]
        self.checker.evicted(now_s, self.name, str(order.model), len(cut))
        self.loaded.discard(order.model)
        for key in cut:
            self.streams.pop(key).broken()
        return True

    def close(self, prefix: str) -> None:
        """See that the connections of a dead daemon are closed."""
        for key in [key for key in self.streams if key.startswith(prefix)]:
            del self.streams[key]

    def running(self) -> dict[AdapterVersion, int]:
        """Count the streams of each adapter version."""
        counts: dict[AdapterVersion, int] = {}
        for stream in self.streams.values():
            counts[stream.model] = counts.get(stream.model, 0) + 1
        return counts
