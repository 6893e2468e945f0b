"""The versions of a model that operators have named in the platform's store.

A daemon does not know when the store acknowledged a version, only the last moment
before it learned of the version at which it knew all that the store had acknowledged.
The version counts as named from that moment, which is the earliest possible one.
"""

import math
from collections import deque
from dataclasses import dataclass

MOST_KEPT = 16
"""Versions of one model that are kept apart; older ones are merged into one."""

BEGIN_MARGIN_S = 1.25
"""Margin added to the forecast of a first token: a prompt waits up to 0.53 s for its
turn, forecasts are exceeded by some tenths of a second, and an attempt that has not
begun is cancelled 0.25 s before the bound."""


class NamedVersions:
    """The versions of one model, with the earliest time each may have been named at.

    Times are in seconds of a clock that keeps running while the host is suspended.
    """

    __slots__ = ("_namings",)

    def __init__(self) -> None:
        self._namings: deque[tuple[int, float]] = deque()

    @property
    def newest(self) -> int:
        """The newest version; 0 before the first."""
        return self._namings[-1][0] if self._namings else 0

    def take(self, version: int, named_s: float) -> bool:
        """Record a version and return whether it is newer than all known ones.

        Parameters
        ----------
        named_s : float
            Earliest time at which the store may have acknowledged it.
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
        """Return the earliest time at which a newer version may have been named.

        Returns
        -------
        float or None
            None if there is no newer version.
        """
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
        The versions that were named.
    now_s : float
        Current time by the clock of ``named``.
    bound_s : float
        Time after the acknowledgement of a version during which work may still begin
        on an older one.
    """

    named: NamedVersions
    now_s: float
    bound_s: float

    @property
    def newest(self) -> int:
        """The newest version."""
        return self.named.newest

    def serves(self, version: int, begins_in_s: float) -> bool:
        """Return whether a call may be sent to run on a version.

        Parameters
        ----------
        begins_in_s : float
            Forecast of the time to its first token.
        """
        until_s = self.named.begins_until_s(version, self.bound_s)
        return self.now_s + begins_in_s + BEGIN_MARGIN_S < until_s
