"""Choice of the few members with which a daemon exchanges heartbeats.

The members are placed on several rings, each in its own order; the neighbours of a
daemon are the members next to it on each ring. Being neighbours is therefore mutual,
the number of neighbours does not grow with the pool, a change of the pool affects
few of them, and new information crosses the pool in few hops.
"""

import hashlib

RING_COUNT = 3


class Rings:
    """Order the members on rings and find the neighbours of one daemon.

    Parameters
    ----------
    host : str
        Name of this daemon.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._positions: dict[str, tuple[bytes, ...]] = {}

    def neighbours(self, others: list[str]) -> list[str]:
        """Return the members next to this host, two on each ring, without repeats."""
        names = [self._host, *others]
        self._positions = {name: self._positions_of(name) for name in names}
        found: dict[str, None] = {}
        for ring in range(RING_COUNT):
            ordered = sorted(names, key=lambda name: self._positions[name][ring])
            own = ordered.index(self._host)
            for step in (-1, 1):
                found[ordered[(own + step) % len(ordered)]] = None
        found.pop(self._host, None)
        return list(found)

    def _positions_of(self, name: str) -> tuple[bytes, ...]:
        return self._positions.get(name) or tuple(
            hashlib.blake2b(f"{ring} {name}".encode(), digest_size=8).digest()
            for ring in range(RING_COUNT)
        )
