"""Whether an entry that was removed may have lapsed while the store was away."""

SHORTEST_S = 1.8
"""Time without an answer that makes an outage. Watches are answered more often by a
store that is well, and in a shorter outage no entry lapses."""


class StoreOutage:
    """What a daemon has seen of the store's last outage.

    All times are of this daemon's clock, in seconds.

    Parameters
    ----------
    settle_s : float
        How long after an outage a daemon is not yet held to the operators' bounds.
    """

    __slots__ = ("_answered_s", "_away_s", "_settle_s", "_silence_s")

    def __init__(self, settle_s: float) -> None:
        self._settle_s = settle_s
        self._answered_s = float("-inf")
        self._silence_s = float("-inf"), float("-inf")
        self._away_s = float("-inf")

    def answered(self, now_s: float) -> None:
        """Take that the store answers a call now, of this daemon or of its relay."""
        if now_s - self._answered_s >= SHORTEST_S:
            self._silence_s = self._answered_s, now_s
        self._answered_s = now_s

    def failed(self, began_s: float) -> None:
        """Take that a call to the store which began at a moment has failed."""
        if began_s - self._silent_since_s(began_s) >= SHORTEST_S:
            self._away_s = max(self._away_s, began_s)

    def _silent_since_s(self, moment_s: float) -> float:
        """Return since when the store had answered nothing at a moment."""
        if moment_s >= self._answered_s:
            return self._answered_s
        # Another call was answered before this one's failure showed.
        began_s, ended_s = self._silence_s
        return began_s if began_s <= moment_s < ended_s else moment_s

    def record_rollback(self, now_s: float) -> None:
        """Take that the store goes on from an older copy, without some entries."""
        self._away_s = now_s

    def over_for_s(self, now_s: float) -> float:
        """Return for how long an outage may have been over; infinite without one."""
        return now_s - self._away_s

    @property
    def lapsed_until_s(self) -> float:
        """Until when an entry that is removed may be a lapsed one.

        The store came back after the last failed call had begun. A later moment would
        keep an endpoint in use that left once daemons are held to the bounds again.
        """
        return self._away_s + self._settle_s
