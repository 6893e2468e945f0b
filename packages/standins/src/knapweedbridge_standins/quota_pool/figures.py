"""What a way to bound an account's use costs, and how close it comes to the bound."""

from collections import deque
from dataclasses import dataclass, field

from knapweedbridge_core.serving import Quota, QuotaTolerance


@dataclass(slots=True)
class QuotaFigures:
    """Counts over one story.

    Parameters
    ----------
    asked, run : float
        Units that were asked for, and that were run.
    run_by_one : float
        Units that one counter for all daemons would have let pass.
    worst_share : float
        The largest part of what is accepted in a window that was run in one.
    messages : int
        Messages between daemons.
    """

    tolerance: QuotaTolerance
    asked: float = 0.0
    run: float = 0.0
    run_by_one: float = 0.0
    worst_share: float = 0.0
    messages: int = 0
    _window: deque[tuple[float, float]] = field(default_factory=deque)
    _in_window: float = 0.0
    _level: float = 0.0
    _filled_s: float = 0.0

    def note(
        self, quota: Quota, units: int, is_run: bool, is_bound: bool, now_s: float
    ) -> None:
        """Take one call.

        Parameters
        ----------
        is_bound : bool
            Whether the quota has stood for a window, so that the bound holds.
        """
        self.asked += units
        self._level += quota.rate_per_s * (now_s - self._filled_s)
        self._level = min(quota.burst, self._level)
        self._filled_s = now_s
        if self._level > 0:
            self._level -= units
            self.run_by_one += units
        if not is_run:
            return
        self.run += units
        self._window.append((now_s, units))
        self._in_window += units
        while self._window[0][0] <= now_s - self.tolerance.window_s:
            self._in_window -= self._window.popleft()[1]
        if is_bound:
            share = self._in_window / self._accepted(quota)
            self.worst_share = max(self.worst_share, share)

    @property
    def missed_share(self) -> float:
        """Share of what was asked for that one counter would have let pass as well."""
        return max(0.0, self.run_by_one - self.run) / self.asked

    def _accepted(self, quota: Quota) -> float:
        units = quota.rate_per_s * self.tolerance.window_s + quota.burst
        return units * (1.0 + self.tolerance.over) + self.tolerance.slack_units
