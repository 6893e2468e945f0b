"""What one daemon holds of a client account's quota, and whom it asks for more."""

import math
from collections import deque

from knapweedbridge_core.rendezvous import score
from knapweedbridge_core.serving.quotas import AHEAD_S, QuotaGrant

HELD_S = 2.0
"""How long units are held: those that no call used by then are lost, so daemons that
an account has left keep nothing of its quota."""

USE_S = 1.5
"""Time over which a daemon's own use is averaged."""

SILENT_S = 0.15
"""How long a keeper that gave no answer is passed over."""


def nearest_first(
    asker: str, data_centre: str, keepers: list[str], places: dict[str, str]
) -> list[str]:
    """Order the keepers of an account for one daemon.

    Those of its data centre go first, and each daemon begins with another one.

    Parameters
    ----------
    places : dict of str to str
        The data centre of each daemon.
    """
    return sorted(
        keepers,
        key=lambda name: (places.get(name) == data_centre, score(asker, name)),
        reverse=True,
    )


class QuotaBalance:
    """Units of one account that one daemon holds; all times are of its own clock."""

    __slots__ = (
        "_call_units",
        "_lots",
        "_passed_over",
        "_silent",
        "_use_per_s",
        "_used_s",
    )

    def __init__(self) -> None:
        self._lots: deque[tuple[float, int]] = deque()
        self._use_per_s = 0.0
        self._call_units = 0
        self._used_s = float("-inf")
        self._passed_over: dict[str, float] = {}
        self._silent: set[str] = set()

    def held(self, now_s: float) -> int:
        """Return the units that are held."""
        while self._lots and self._lots[0][0] <= now_s:
            self._lots.popleft()
        return sum(units for _, units in self._lots)

    def put(self, units: int, now_s: float) -> None:
        """Take units that a keeper gave, or that a call gave back."""
        if units > 0:
            self._lots.append((now_s + HELD_S, units))

    def record_use(self, units: int, now_s: float) -> None:
        """Take that a call wants units, whether it gets them or not."""
        fading = math.exp(-(now_s - self._used_s) / USE_S)
        self._use_per_s = self._use_per_s * fading + units / USE_S
        self._used_s = now_s
        self._call_units = max(units, self._call_units // 2)

    def spend(self, units: int, now_s: float) -> bool:
        """Spend units on a call, those that lapse first first; False: too few."""
        if self.held(now_s) < units:
            return False
        while units > 0:
            until_s, lot = self._lots.popleft()
            if lot > units:
                self._lots.appendleft((until_s, lot - units))
            units -= lot
        return True

    def ahead(self, now_s: float) -> int:
        """Return the units to ask for calls that are still to come.

        None where that is less than a call takes: held by many daemons, such rests
        would lapse again and again, and a small account be refused for want of them.
        """
        fading = math.exp(-(now_s - self._used_s) / USE_S)
        units = int(self._use_per_s * fading * AHEAD_S)
        return units if units >= self._call_units else 0

    def answered(self, keeper: str, given: QuotaGrant, now_s: float) -> None:
        """Take a keeper's answer."""
        self.put(given.units, now_s)
        self._silent.discard(keeper)
        if given.wait_s:
            self._passed_over[keeper] = now_s + given.wait_s

    def unanswered(self, keeper: str, now_s: float) -> None:
        """Take that a keeper gave no answer."""
        self._passed_over[keeper] = now_s + SILENT_S
        self._silent.add(keeper)

    def next_keeper(self, keepers: list[str], now_s: float) -> str | None:
        """Return whom to ask, or None while none has anything to give."""
        self._passed_over = {
            name: until_s
            for name, until_s in self._passed_over.items()
            if until_s > now_s and name in keepers
        }
        able = (name for name in keepers if name not in self._passed_over)
        return next(able, None)

    def has_silent_keeper(self, keepers: list[str]) -> bool:
        """Tell whether a keeper is silent that may have something to give."""
        return not self._silent.isdisjoint(keepers)

    def wait_s(self, now_s: float) -> float:
        """Return after how long a keeper may have something to give again."""
        return max(0.0, min(self._passed_over.values(), default=now_s) - now_s)
