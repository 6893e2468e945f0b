"""The versions of one model that operators have named, one by one or in series.

When the store acknowledged a version is not known here, only up to when it surely had
not. So a version counts as named from the last moment before it was heard of at which
all that the store had acknowledged was known.
"""

import math
from collections import deque
from dataclasses import dataclass

MOST_KEPT = 16
"""Versions of one model that are told apart; those before count as one."""

BEGIN_MARGIN_S = 1.25
"""Time left beside the forecast of a first token: a prompt waits for its turn for
0.53 s at most, forecasts are exceeded by some tenths, and an attempt that has not begun
is given up 0.25 s before the bound."""


class NamedVersions:
    """The versions of one model, by when each may have been named.

    Times are of a clock that also counts while the host is suspended, in seconds.
    """

    __slots__ = ("_namings",)

    def __init__(self) -> None:
        self._namings: deque[tuple[int, float]] = deque()

    @property
    def newest(self) -> int:
        """The newest version; 0 before the first."""
        return self._namings[-1][0] if self._namings else 0

    def take(self, version: int, named_s: float) -> bool:
        """Take that a version was heard of; tell whether it is newer than all before.

        Parameters
        ----------
        named_s : float
            Earliest moment at which the store may have acknowledged it.
        """
        if version <= self.newest:
            return False
        self._namings.append((version, named_s))
        if len(self._namings) > MOST_KEPT:
            _, first_s = self._namings.popleft()
            second, _ = self._namings.popleft()
            self._namings.appendleft((second, first_s))
        return True

    def superseded_s(self, version: int) -> float | None:
        """Return when the first newer version than one may have been named, or None."""
        return next((at_s for newer, at_s in self._namings if newer > version), None)

    def begins_until_s(self, version: int, bound_s: float) -> float:
        """Return until when work may begin on a version; infinite for the newest."""
        since_s = self.superseded_s(version)
        return math.inf if since_s is None else since_s + bound_s


@dataclass(slots=True, frozen=True)
class ServableVersions:
    """The versions of an adapter that may serve a call which is placed now.

    Parameters
    ----------
    named : NamedVersions
        Those that were named.
    now_s : float
        By the clock of ``named``.
    bound_s : float
        How long after a version was acknowledged work may begin on an older one.
    """

    named: NamedVersions
    now_s: float
    bound_s: float

    @property
    def newest(self) -> int:
        """The newest version."""
        return self.named.newest

    def serves(self, version: int, begins_in_s: float) -> bool:
        """Tell whether a call may be sent to run on a version.

        Parameters
        ----------
        begins_in_s : float
            Forecast of the time to its first token.
        """
        until_s = self.named.begins_until_s(version, self.bound_s)
        return self.now_s + begins_in_s + BEGIN_MARGIN_S < until_s
