"""A plain endpoint with slots, a short queue and slow periods."""

import random
from dataclasses import dataclass, field

SLOW_FACTOR = 2.5
SLOW_SHARE = 0.15
SLOW_S = 0.6


@dataclass(slots=True)
class ModelledEndpoint:
    """Runs requests; one that finds no slot and no place in its queue is refused.

    Parameters
    ----------
    slots, waiting : int
        Requests that it runs at once, and that wait before them.
    factor : float
        Times as long as usual that its requests take.
    """

    slots: int
    waiting: int
    factor: float
    rng: random.Random
    _ends_s: list[float] = field(default_factory=list)
    _periods: list[tuple[float, float]] = field(default_factory=list)

    def run(self, work_s: float, now_s: float) -> float | None:
        """Return when a request ends that comes now; None where it is refused."""
        self._ends_s = sorted(each for each in self._ends_s if each > now_s)
        queued = len(self._ends_s) - self.slots
        if queued >= self.waiting:
            return None
        begins_s = now_s if queued < 0 else self._ends_s[queued]
        end_s = self._worked_s(begins_s, work_s * self.factor)
        self._ends_s.append(end_s)
        return end_s

    def _worked_s(self, begin_s: float, work_s: float) -> float:
        """Return when work is done that takes longer in slow periods."""
        at_s = begin_s
        while True:
            slow, until_s = self._pace_at(at_s)
            pace = SLOW_FACTOR if slow else 1.0
            if at_s + work_s * pace <= until_s:
                return at_s + work_s * pace
            work_s -= (until_s - at_s) / pace
            at_s = until_s

    def _pace_at(self, at_s: float) -> tuple[bool, float]:
        """Tell whether a moment is in a slow period, and until when that holds."""
        typical_s = SLOW_S * (1 - SLOW_SHARE) / SLOW_SHARE
        while not self._periods or self._periods[-1][1] <= at_s:
            ended_s = self._periods[-1][1] if self._periods else 0.0
            begin_s = ended_s + self.rng.expovariate(1 / typical_s)
            self._periods.append((begin_s, begin_s + SLOW_S))
        for begin_s, end_s in reversed(self._periods):
            if begin_s <= at_s < end_s:
                return True, end_s
            if end_s <= at_s:
                break
        return False, min(begin for begin, _ in self._periods if begin > at_s)
