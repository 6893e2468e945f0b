"""Daemons of the modelled pool: which of them run, and who reaches whom."""

from dataclasses import dataclass


@dataclass(slots=True)
class Host:
    """One daemon.

    Parameters
    ----------
    started_s : float
        When its process was started last.
    down_until_s : float
        Until when it neither serves nor answers.
    cut_until_s : float
        Until when it reaches no other daemon; callers reach it.
    """

    name: str
    data_centre: str
    started_s: float = -60.0
    down_until_s: float = -60.0
    cut_until_s: float = -60.0

    def runs(self, now_s: float) -> bool:
        """Tell whether its process runs."""
        return now_s >= self.down_until_s

    def reaches(self, other: "Host", now_s: float) -> bool:
        """Tell whether a message to another host is answered."""
        if self is other:
            return True
        is_cut = max(self.cut_until_s, other.cut_until_s) > now_s
        return other.runs(now_s) and not is_cut
