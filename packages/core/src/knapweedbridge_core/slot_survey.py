"""Which slots a load could take, and what evicting their adapters would cost."""

import math
from collections.abc import Iterator

from knapweedbridge_core.configuration import EndpointEntry
from knapweedbridge_core.copies import Copies
from knapweedbridge_core.eviction import Eviction
from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_core.pool import Pool
from knapweedbridge_core.slots import SlotOption
from knapweedbridge_core.view import View

PIN_GUESS_S = 0.5
FRESH_S = 0.5
MOST_SLOTS_WEIGHED = 256


class SlotSurvey:
    """Finds the slots of a pool that a load could take.

    Parameters
    ----------
    eviction : Eviction
        Says what an adapter is worth where it is.
    copies : Copies
        Says how many copies an adapter needs.
    """

    def __init__(self, eviction: Eviction, copies: Copies) -> None:
        self._eviction = eviction
        self._copies = copies
        self._pinned_until_s: dict[tuple[str, AdapterVersion | None], float] = {}
        self._fresh_until_s: dict[AdapterVersion, float] = {}
        self._window = 0
        self._worths: dict[tuple[AdapterVersion, int], float] = {}
        self._worths_s = -math.inf

    def clear_worths(self) -> None:
        """Drop the worths that are kept, as new requests change them."""
        self._worths_s = -math.inf

    def pinned(self, endpoint: str, held: AdapterVersion | None, now_s: float) -> None:
        """Note that an owner declined to empty a slot."""
        self._pinned_until_s[endpoint, held] = now_s + PIN_GUESS_S

    def loaded(self, model: AdapterVersion, now_s: float) -> None:
        """Note a fresh load, which is left a while to its waiters."""
        self._fresh_until_s[model] = now_s + FRESH_S

    def forget_old(self, now_s: float) -> None:
        """Forget the pins and fresh loads whose time is over."""
        self._pinned_until_s = _still(self._pinned_until_s, now_s)
        self._fresh_until_s = _still(self._fresh_until_s, now_s)

    def options(
        self, model: AdapterVersion, pool: Pool, busy: set[str], now_s: float
    ) -> Iterator[SlotOption]:
        """Yield the slots that could take an adapter version.

        Parameters
        ----------
        model : AdapterVersion
            What is to be loaded.
        pool : Pool
            The pool now.
        busy : set of str
            Endpoints that already load.
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
        """Yield the engines that this decision weighs."""
        # At the size of one pool this sees every slot; in a larger one the
        # window moves on, so that a decision costs the same.
        slots = 0
        count = len(pool.engines)
        for step in range(count):
            entry = pool.engines[(self._window + step) % count]
            slots += entry.slots
            yield entry
            if slots >= MOST_SLOTS_WEIGHED:
                self._window = (self._window + step + 1) % count
                return

    def is_pinned(
        self, endpoint: str, held: AdapterVersion | None, now_s: float
    ) -> bool:
        """Tell whether a slot, free where it holds None, cannot be taken now."""
        if self._pinned_until_s.get((endpoint, held), now_s) > now_s:
            return True
        return held is not None and self._fresh_until_s.get(held, now_s) > now_s

    def worth(self, held: AdapterVersion, view: View, now_s: float) -> float:
        """Return what one copy of an adapter version is worth where it is."""
        # A pinned victim is declined within a round trip and the next one chosen:
        # the worths of one moment are kept.
        if now_s != self._worths_s:
            self._worths.clear()
            self._worths_s = now_s
        spare = max(0, view.copies(held) - self._copies.needed(held))
        worth = self._worths.get((held, spare))
        if worth is None:
            worth = self._eviction.worth(held, 1 + spare, now_s)
            self._worths[held, spare] = worth
        return worth


def _still(until_s: dict, now_s: float) -> dict:
    return {key: at_s for key, at_s in until_s.items() if at_s > now_s}
