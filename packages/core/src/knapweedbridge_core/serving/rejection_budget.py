"""Rejection budget of a brittle endpoint, counted for all daemons.

A brittle endpoint crashes if it rejects more requests in a second than it states. It
rejects a request on arrival, so only the outcome of the latest requests is unknown. One
daemon counts those and the rejected ones, and denies a permit for any request that
could exceed the budget.
"""

from collections import deque

UNKNOWN_OUTCOME_S = 0.08
"""How long the outcome of a request counts as unknown. The request and the report of
its rejection each take milliseconds."""

WINDOW_S = 1.0
"""Window in which a brittle endpoint counts its rejections."""

BUDGET_SHARE = 0.75
"""Share of the stated rejections that is permitted. Requests of a slow host arrive
late, when they no longer count as unknown."""


class RejectionBudget:
    """Rejections that one endpoint can still afford, on the coordinator's clock."""

    __slots__ = ("_sent_s", "_turned_away_s")

    def __init__(self) -> None:
        self._sent_s: deque[float] = deque()
        self._turned_away_s: deque[float] = deque()

    def take(self, turned_away_per_s: float, now_s: float) -> float:
        """Take a permit for one request.

        Parameters
        ----------
        turned_away_per_s : float
            Requests that the endpoint can reject in a second without crashing.

        Returns
        -------
        float
            0.0 if a permit is granted, else the seconds until one may be available.
        """
        self._forget(now_s)
        max_permits = max(1, int(BUDGET_SHARE * turned_away_per_s))
        if len(self._sent_s) + len(self._turned_away_s) < max_permits:
            self._sent_s.append(now_s)
            return 0.0
        ends_s = [each + UNKNOWN_OUTCOME_S for each in list(self._sent_s)[:1]]
        ends_s += [each + WINDOW_S for each in list(self._turned_away_s)[:1]]
        return min(ends_s) - now_s

    def turned_away(self, now_s: float) -> None:
        """Record that the endpoint rejected a request because it was full."""
        if self._sent_s:
            self._sent_s.popleft()
        self._turned_away_s.append(now_s)

    def _forget(self, now_s: float) -> None:
        for times, kept_s in (
            (self._sent_s, UNKNOWN_OUTCOME_S),
            (self._turned_away_s, WINDOW_S),
        ):
            while times and times[0] + kept_s <= now_s:
                times.popleft()
