"""Moves of hot adapters onto the engines whose steps are fullest, by unused loads.

Few full engines and many idle ones share each step among more requests than the
same requests spread evenly. A move loads a second copy where it should be; the
first copy then is worth nothing and gives its slot to a later load.
"""

from dataclasses import dataclass

from knapweedbridge_core.names import AdapterVersion

ROOM = 0.6
COLDER_TIMES = 4.0
LEAST_RATE_PER_S = 0.03


@dataclass(slots=True, frozen=True)
class HeldAdapter:
    """An adapter version that holds a slot.

    Parameters
    ----------
    model : AdapterVersion
        Which.
    rate_per_s : float
        Requests a second expected.
    worth : float
        What evicting it costs; see `Eviction.worth`.
    copies : int
        Endpoints that hold it.
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
        """Requests a second expected over all that it holds."""
        return sum(adapter.rate_per_s for adapter in self.held)


@dataclass(slots=True, frozen=True)
class Move:
    """Load an adapter version in the place of another."""

    model: AdapterVersion
    endpoint: str
    victim: AdapterVersion


def find_move(engines: list[FullEngine], slack: float) -> Move | None:
    """Return the move that fills the fullest engine with room, if any.

    Parameters
    ----------
    engines : list of FullEngine
        All engines of one base model.
    slack : float
        What the victim may be worth at most.
    """
    ranked = sorted(engines, key=lambda e: (-e.rate_per_s, e.endpoint))
    for place, engine in enumerate(ranked):
        if engine.running >= ROOM * engine.batch:
            continue
        loose = [adapter for adapter in engine.held if not adapter.pinned]
        if not loose:
            continue
        victim = min(loose, key=lambda adapter: (adapter.worth, adapter.model))
        there = {adapter.model for adapter in engine.held}
        colder = [
            adapter
            for other in ranked[place + 1 :]
            for adapter in other.held
            if adapter.copies == 1 and adapter.model not in there
        ]
        if not colder or victim.worth > slack:
            return None
        hot = max(colder, key=lambda adapter: (adapter.rate_per_s, adapter.model))
        least = max(LEAST_RATE_PER_S, COLDER_TIMES * victim.worth)
        if hot.rate_per_s < least:
            return None
        return Move(hot.model, engine.endpoint, victim.model)
    return None
