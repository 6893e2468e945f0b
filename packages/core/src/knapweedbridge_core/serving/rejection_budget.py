"""Calls that a brittle endpoint may have to turn away, counted for all daemons.

A brittle endpoint falls over when it turns away more calls in a second than it says. It
turns a call away as it arrives, so only the calls of the last moments are uncertain.
One daemon counts those and the ones turned away, and permits no call that could be one
too many.
"""

from collections import deque

ARRIVES_S = 0.08
"""How long a call counts as uncertain: its way, and that of the word that it was turned
away, take milliseconds."""

COUNTED_S = 1.0
"""Time over which a brittle endpoint counts."""

BUDGET_SHARE = 0.75
"""Part of what it bears that is permitted: calls of a slow host arrive late, and then
count as uncertain no more."""


class RejectionBudget:
    """What one endpoint may still turn away; times are of the keeper's clock."""

    __slots__ = ("_sent_s", "_turned_away_s")

    def __init__(self) -> None:
        self._sent_s: deque[float] = deque()
        self._turned_away_s: deque[float] = deque()

    def take(self, turned_away_per_s: float, now_s: float) -> float:
        """Take a permit for one call.

        Parameters
        ----------
        turned_away_per_s : float
            Calls that the endpoint bears to turn away in a second.

        Returns
        -------
        float
            0.0 where one is given, else seconds after which one may be.
        """
        self._forget(now_s)
        most = max(1, int(BUDGET_SHARE * turned_away_per_s))
        if len(self._sent_s) + len(self._turned_away_s) < most:
            self._sent_s.append(now_s)
            return 0.0
        ends_s = [each + ARRIVES_S for each in list(self._sent_s)[:1]]
        ends_s += [each + COUNTED_S for each in list(self._turned_away_s)[:1]]
        return min(ends_s) - now_s

    def turned_away(self, now_s: float) -> None:
        """Record that a call was turned away for want of room."""
        if self._sent_s:
            self._sent_s.popleft()
        self._turned_away_s.append(now_s)

    def _forget(self, now_s: float) -> None:
        for times, kept_s in (
            (self._sent_s, ARRIVES_S),
            (self._turned_away_s, COUNTED_S),
        ):
            while times and times[0] + kept_s <= now_s:
                times.popleft()
