"""Whether an entry that was removed may have lapsed while the store was away."""

RELISTED_S = 1.5
"""How long an endpoint whose entry may have lapsed stays in use."""


class StoreOutage:
    """What a daemon has seen of the store's last outage.

    All times are of this daemon's clock, in seconds.

    Parameters
    ----------
    settle_s : float
        How long after an outage a daemon is not yet held to the operators' bounds.
    """

    __slots__ = ("_failed_s", "_settle_s")

    def __init__(self, settle_s: float) -> None:
        self._settle_s = settle_s
        self._failed_s = float("-inf")

    def failed(self, began_s: float) -> None:
        """Take that a call to the store which began at a moment has failed."""
        self._failed_s = max(self._failed_s, began_s)

    def failed_for_s(self, now_s: float) -> float:
        """Return how long ago the last call that failed began; infinite if none did."""
        return now_s - self._failed_s

    def is_settling(self, now_s: float) -> bool:
        """Tell whether entries that lapsed in an outage may still be missing."""
        return self.failed_for_s(now_s) < self._settle_s

    def lapsed_until_s(self, now_s: float) -> float:
        """Return until when an entry that is removed now may be a lapsed one.

        The store came back after the last failed call had begun. A later moment would
        keep an endpoint in use that left once daemons are held to the bounds again.
        """
        return min(self._failed_s + self._settle_s, now_s + RELISTED_S)
