"""Chooses the few members that a daemon exchanges heartbeats with.

The members stand on three rings, each in an order of its own; a daemon's
neighbours are those beside it on each ring. So being neighbours is mutual,
their number does not grow with the pool, a change of the pool moves few of
them, and news crosses the pool in few steps.
"""

import hashlib

RINGS = 3


class Rings:
    """The rings as one daemon sees them.

    Parameters
    ----------
    host : str
        Name of this daemon.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._places: dict[str, tuple[bytes, ...]] = {}

    def neighbours(self, others: list[str]) -> list[str]:
        """Return the names beside this host, two a ring, each once."""
        names = [self._host, *others]
        self._places = {name: self._places_of(name) for name in names}
        found: dict[str, None] = {}
        for at in range(RINGS):
            ordered = sorted(names, key=lambda name: self._places[name][at])
            own = ordered.index(self._host)
            for step in (-1, 1):
                found[ordered[(own + step) % len(ordered)]] = None
        found.pop(self._host, None)
        return list(found)

    def _places_of(self, name: str) -> tuple[bytes, ...]:
        return self._places.get(name) or tuple(
            hashlib.blake2b(f"{ring} {name}".encode(), digest_size=8).digest()
            for ring in range(RINGS)
        )
