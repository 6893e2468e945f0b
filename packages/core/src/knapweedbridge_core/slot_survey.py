"""Finds the slots that a load could take and the cost of evicting from them."""

import math
from collections.abc import Iterator

from knapweedbridge_core.configuration import EndpointEntry
from knapweedbridge_core.copies import Copies
from knapweedbridge_core.eviction import Eviction
from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_core.pool import Pool
from knapweedbridge_core.slots import SlotOption
from knapweedbridge_core.view import View

PIN_MEMORY_S = 0.5
"""How long a slot that its owner declined to evict counts as pinned."""

FRESH_LOAD_S = 0.5
"""How long a new load is not evicted, so that its waiters can use it."""

MAX_SLOTS_CONSIDERED = 256
"""Number of slots after which a decision considers no further engine."""


class SlotSurvey:
    """Finds the slots of a pool that a load could take.

    Parameters
    ----------
    eviction : Eviction
        Computes the cost of evicting an adapter.
    copies : Copies
        Computes how many copies an adapter needs.
    """

    def __init__(self, eviction: Eviction, copies: Copies) -> None:
        self._eviction = eviction
        self._copies = copies
        self._pinned_until_s: dict[tuple[str, AdapterVersion | None], float] = {}
        self._fresh_until_s: dict[AdapterVersion, float] = {}
        self._window_start = 0
        self._worths: dict[tuple[AdapterVersion, int], float] = {}
        self._worths_at_s = -math.inf

    def clear_worths(self) -> None:
        """Clear the cached worths, as new requests change them."""
        self._worths_at_s = -math.inf

    def pinned(self, endpoint: str, held: AdapterVersion | None, now_s: float) -> None:
        """Record that an owner declined to evict from a slot."""
        self._pinned_until_s[endpoint, held] = now_s + PIN_MEMORY_S

    def loaded(self, model: AdapterVersion, now_s: float) -> None:
        """Record a new load, which is not evicted for a while."""
        self._fresh_until_s[model] = now_s + FRESH_LOAD_S

    def forget_old(self, now_s: float) -> None:
        """Remove the expired pins and new loads."""
        self._pinned_until_s = _unexpired(self._pinned_until_s, now_s)
        self._fresh_until_s = _unexpired(self._fresh_until_s, now_s)

    def options(
        self, model: AdapterVersion, pool: Pool, busy: set[str], now_s: float
    ) -> Iterator[SlotOption]:
        """Yield the slots that could take an adapter version.

        Parameters
        ----------
        model : AdapterVersion
            Adapter version to load.
        pool : Pool
            Current state of the pool.
        busy : set of str
            Endpoints with a load in progress.
        """
        base_model = pool.base_model_of(model)
        for entry in self.engines(pool):
            state = pool.view.endpoints.get(entry.name)
            if state is None or entry.base_model != base_model or entry.name in busy:
                continue
            if model in state.loaded:
                continue
            if len(state.loaded) < entry.slots:
                if not self.is_pinned(entry.name, None, now_s):
                    yield SlotOption(entry.name, None, -1.0, state.running, entry.batch)
                continue
            for held in state.loaded:
                if self.is_pinned(entry.name, held, now_s):
                    continue
                worth = self.worth(held, pool.view, now_s)
                yield SlotOption(entry.name, held, worth, state.running, entry.batch)

    def engines(self, pool: Pool) -> Iterator[EndpointEntry]:
        """Yield the engines that this decision considers."""
        # A pool of usual size is considered whole. In a larger one the window moves
        # A pool of usual size is below the limit and considered whole. In a larger
        # one the window moves on with each decision, which bounds its cost.
        slots = 0
        count = len(pool.engines)
        for step in range(count):
            entry = pool.engines[(self._window_start + step) % count]
            slots += entry.slots
            yield entry
            if slots >= MAX_SLOTS_CONSIDERED:
                self._window_start = (self._window_start + step + 1) % count
                return

    def is_pinned(
        self, endpoint: str, held: AdapterVersion | None, now_s: float
    ) -> bool:
        """Return whether a slot, free if ``held`` is None, cannot be used now."""
        if self._pinned_until_s.get((endpoint, held), now_s) > now_s:
            return True
        return held is not None and self._fresh_until_s.get(held, now_s) > now_s

    def worth(self, held: AdapterVersion, view: View, now_s: float) -> float:
        """Return the cost of evicting one copy of an adapter version."""
        # An owner declines a pinned victim within a round trip and the next one is
        # chosen, so the worths of one point in time are cached.
        if now_s != self._worths_at_s:
            self._worths.clear()
            self._worths_at_s = now_s
        spare = max(0, view.copies(held) - self._copies.needed(held))
        worth = self._worths.get((held, spare))
        if worth is None:
            worth = self._eviction.worth(held, 1 + spare, now_s)
            self._worths[held, spare] = worth
        return worth


def _unexpired(until_s: dict, now_s: float) -> dict:
    return {key: at_s for key, at_s in until_s.items() if at_s > now_s}
