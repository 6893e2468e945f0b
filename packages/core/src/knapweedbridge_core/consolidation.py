"""Consolidates hot adapters on the busiest engines, with loads that are not needed.

A few full engines and many idle ones batch more requests per step than the same
requests spread evenly. A move loads a second copy on the target engine; the first
copy then has no value left, and a later load takes its slot.
"""

from dataclasses import dataclass

from knapweedbridge_core.names import AdapterVersion

MAX_BATCH_FILL = 0.6
MIN_GAIN_RATIO = 4.0
MIN_RATE_PER_S = 0.03


@dataclass(slots=True, frozen=True)
class HeldAdapter:
    """An adapter version that occupies a slot of an engine.

    Parameters
    ----------
    model : AdapterVersion
        Adapter version.
    rate_per_s : float
        Expected requests per second.
    worth : float
        Cost of evicting it; see `Eviction.worth`.
    copies : int
        Number of endpoints that hold it.
    pinned : bool
        Whether it cannot be evicted now.
    """

    model: AdapterVersion
    rate_per_s: float
    worth: float
    copies: int
    pinned: bool


@dataclass(slots=True, frozen=True)
class FullEngine:
    """An engine without a free slot."""

    endpoint: str
    running: int
    batch: int
    held: list[HeldAdapter]

    @property
    def rate_per_s(self) -> float:
        """Expected requests per second for all adapters it holds."""
        return sum(adapter.rate_per_s for adapter in self.held)


@dataclass(slots=True, frozen=True)
class Move:
    """A load of an adapter version that evicts another."""

    model: AdapterVersion
    endpoint: str
    victim: AdapterVersion


def find_move(engines: list[FullEngine], slack: float) -> Move | None:
    """Return the move that adds load to the busiest engine with spare capacity.

    Parameters
    ----------
    engines : list of FullEngine
        All engines of one base model.
    slack : float
        Highest worth of the victim.

    Returns
    -------
    move : Move or None
        None if no move is worthwhile.
    """
    ranked = sorted(engines, key=lambda e: (-e.rate_per_s, e.endpoint))
    for rank, engine in enumerate(ranked):
        if engine.running >= MAX_BATCH_FILL * engine.batch:
            continue
        evictable = [adapter for adapter in engine.held if not adapter.pinned]
        if not evictable:
            continue
        victim = min(evictable, key=lambda adapter: (adapter.worth, adapter.model))
        present = {adapter.model for adapter in engine.held}
        colder = [
            adapter
            for other in ranked[rank + 1 :]
            for adapter in other.held
            if adapter.copies == 1 and adapter.model not in present
        ]
        if not colder or victim.worth > slack:
            return None
        hot = max(colder, key=lambda adapter: (adapter.rate_per_s, adapter.model))
        min_rate_per_s = max(MIN_RATE_PER_S, MIN_GAIN_RATIO * victim.worth)
        if hot.rate_per_s < min_rate_per_s:
            return None
        return Move(hot.model, engine.endpoint, victim.model)
    return None
