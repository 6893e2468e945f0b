"""Whether a removed store entry may have expired during an outage of the store."""

SHORTEST_S = 1.8
"""Shortest time without a response that counts as an outage. A healthy store answers
watches more often, and no entry expires in a shorter outage."""


class StoreOutage:
    """What a daemon has observed of the store's last outage.

    All times are in seconds of this daemon's clock.

    Parameters
    ----------
    settle_s : float
        Time after an outage during which a daemon need not keep to the operators'
        bounds yet.
    """

    __slots__ = ("_answered_s", "_away_s", "_settle_s", "_silence_s")

    def __init__(self, settle_s: float) -> None:
        self._settle_s = settle_s
        self._answered_s = float("-inf")
        self._silence_s = float("-inf"), float("-inf")
        self._away_s = float("-inf")

    def answered(self, now_s: float) -> None:
        """Record that the store answered a call of this daemon or of its relay now."""
        if now_s - self._answered_s >= SHORTEST_S:
            self._silence_s = self._answered_s, now_s
        self._answered_s = now_s

    def failed(self, began_s: float) -> None:
        """Record that a call to the store which began at ``began_s`` has failed."""
        if began_s - self._silent_since_s(began_s) >= SHORTEST_S:
            self._away_s = max(self._away_s, began_s)

    def _silent_since_s(self, moment_s: float) -> float:
        """Return the time of the last response before a moment."""
        if moment_s >= self._answered_s:
            return self._answered_s
        # Another call was answered before the failure of this one was noticed.
        began_s, ended_s = self._silence_s
        return began_s if began_s <= moment_s < ended_s else moment_s

    def record_rollback(self, now_s: float) -> None:
        """Record that the store restarted from an older copy without some entries."""
        self._away_s = now_s

    def over_for_s(self, now_s: float) -> float:
        """Return the longest time since the last outage; infinite without one."""
        return now_s - self._away_s

    @property
    def lapsed_until_s(self) -> float:
        """Time until which a removed entry may be an expired one.

        The store came back after the last failed call had begun. Counting from a later
        moment would keep an endpoint in use that left after daemons have to keep to the
        bounds again.
        """
        return self._away_s + self._settle_s
