"""The versions of one model that operators have named, one by one or in series.

When the store acknowledged a version is not known here, only up to when it surely had
not. So a version counts as named from the last moment before it was heard of at which
all that the store had acknowledged was known.
"""

from collections import deque

MOST_KEPT = 16
"""Versions of one model that are told apart; those before count as one."""


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
