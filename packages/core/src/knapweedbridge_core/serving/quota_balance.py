"""Units of a client account's quota that one daemon holds and requests."""

import math
from collections import deque

from knapweedbridge_core.rendezvous import score
from knapweedbridge_core.serving.quotas import AHEAD_S, QuotaGrant

UNIT_LIFETIME_S = 2.0
"""How long units are held. Unused units expire, so that daemons which an account no
longer uses keep nothing of its quota."""

USE_WINDOW_S = 1.5
"""Time over which a daemon's own use is averaged."""

SILENT_COORDINATOR_S = 0.15
"""How long a coordinator that did not reply is skipped."""


def nearest_first(
    asker: str, data_centre: str, coordinators: list[str], places: dict[str, str]
) -> list[str]:
    """Order the coordinators of an account for one daemon, nearest first.

    Those of its data centre come first. Among them each daemon has another order, so
    that requests are spread.

    Parameters
    ----------
    places : dict of str to str
        The data centre of each daemon.
    """
    return sorted(
        coordinators,
        key=lambda name: (places.get(name) == data_centre, score(asker, name)),
        reverse=True,
    )


class QuotaBalance:
    """Units of one account that one daemon holds, on its own clock."""

    __slots__ = (
        "_call_units",
        "_batches",
        "_skipped_until_s",
        "_silent_coordinators",
        "_use_per_s",
        "_used_s",
    )

    def __init__(self) -> None:
        self._batches: deque[tuple[float, int]] = deque()
        self._use_per_s = 0.0
        self._call_units = 0
        self._used_s = float("-inf")
        self._skipped_until_s: dict[str, float] = {}
        self._silent_coordinators: set[str] = set()

    def held(self, now_s: float) -> int:
        """Return the unexpired units that are held."""
        while self._batches and self._batches[0][0] <= now_s:
            self._batches.popleft()
        return sum(units for _, units in self._batches)

    def put(self, units: int, now_s: float) -> None:
        """Add units that a coordinator granted or a request returned."""
        if units > 0:
            self._batches.append((now_s + UNIT_LIFETIME_S, units))

    def record_use(self, units: int, now_s: float) -> None:
        """Record the units that a request needs, whether or not it gets them."""
        decay = math.exp(-(now_s - self._used_s) / USE_WINDOW_S)
        self._use_per_s = self._use_per_s * decay + units / USE_WINDOW_S
        self._used_s = now_s
        self._call_units = max(units, self._call_units // 2)

    def spend(self, units: int, now_s: float) -> bool:
        """Spend units on a request, the first to expire first; False: too few."""
        if self.held(now_s) < units:
            return False
        while units > 0:
            until_s, batch = self._batches.popleft()
            if batch > units:
                self._batches.appendleft((until_s, batch - units))
            units -= batch
        return True

    def ahead(self, now_s: float) -> int:
        """Return the units to prefetch for future requests.

        Returns 0 if that is less than one request needs. Such remainders, held by many
        daemons, would expire again and again, and a small account would be refused
        for lack of them.
        """
        decay = math.exp(-(now_s - self._used_s) / USE_WINDOW_S)
        units = int(self._use_per_s * decay * AHEAD_S)
        return units if units >= self._call_units else 0

    def answered(self, coordinator: str, given: QuotaGrant, now_s: float) -> None:
        """Record a coordinator's reply."""
        self.put(given.units, now_s)
        self._silent_coordinators.discard(coordinator)
        if given.wait_s:
            self._skipped_until_s[coordinator] = now_s + given.wait_s

    def unanswered(self, coordinator: str, now_s: float) -> None:
        """Record that a coordinator did not reply."""
        self._skipped_until_s[coordinator] = now_s + SILENT_COORDINATOR_S
        self._silent_coordinators.add(coordinator)

    def next_coordinator(self, coordinators: list[str], now_s: float) -> str | None:
        """Return the coordinator to ask next, or None while none has units to grant."""
        self._skipped_until_s = {
            name: until_s
            for name, until_s in self._skipped_until_s.items()
            if until_s > now_s and name in coordinators
        }
        able = (name for name in coordinators if name not in self._skipped_until_s)
        return next(able, None)

    def has_silent_coordinator(self, coordinators: list[str]) -> bool:
        """Return whether a coordinator that may have units does not reply."""
        return not self._silent_coordinators.isdisjoint(coordinators)

    def wait_s(self, now_s: float) -> float:
        """Return the seconds until a coordinator may have units to grant again."""
        return max(0.0, min(self._skipped_until_s.values(), default=now_s) - now_s)
