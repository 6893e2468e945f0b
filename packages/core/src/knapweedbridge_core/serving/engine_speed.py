"""How many times as long as its service's usual engine one engine takes.

The load that this answers: engines of one service that take 0.6 to 1.6 times the usual
time, each of them 2.5 times as long during 15% of its time, in periods of 0.6 s. One
daemon of 71 sees an engine twice in half a minute, so its owner collects what all
daemons saw. Medians leave the slow periods out, and a daemon that reports wrong times.
"""

import math
from bisect import bisect_right
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

SPEED_LEAST = 0.3
SPEED_MOST = 6.0
"""Bounds of what is believed."""

ALIKE = 0.3
"""Distance from 1.0 within which a speed counts as usual. In a crowd estimates of
engines that are alike differ by as much, and a call that is moved for that leaves the
engine that holds its adapter."""

UNKNOWN = 0.0
"""Speed of an engine that is not known."""

LASTING_S = 8.0
"""How long an observation counts where newer ones come: a change shows after half of
this, and of a period of 0.6 s too little is seen to move the median."""

OBSERVED_MOST = 256
"""Observations that are kept. An engine of 32 slots gives 20 a second in a crowd; with
64 of them a crowd of 3 s, in which each step takes longer, passed for a slow engine."""

OBSERVED_LEAST = 24
"""Observations that are kept however old: an idle engine keeps its speed."""

FROM_ONE_MOST = 0.34
"""Largest share of the weight that one daemon has among several."""

CERTAIN = 9.0
"""Weight of what was believed before among the observations, so that the first few move
little: two responses in a slow period, which weigh 3 each, must not make it slow."""

GAPS_A_WEIGHT = 8
"""Pauses between events whose mean weighs as much as the time to a first event."""

GAPS_WEIGHT_MOST = 2.0
"""Most that the pauses of one report weigh: they are of the same moment."""

SPELL_S = 0.3
"""Age up to which observations show a slow period, half the length of one."""

SPELL_TIMES = 1.6
"""Times its lasting speed from which on an engine is in a slow period; they take 2.5
times as long, and noise of one observation is 1.3."""

SPELL_LEAST = 2
"""Observations that show a slow period; one may be a lost packet."""


@dataclass(slots=True, frozen=True)
class _Observed:
    """One observation: the logarithm of times the usual, and its weight."""

    daemon: str
    log_times: float
    weight: float
    seen_s: float


class EngineSpeed:
    """The speed of one start of an engine, as its owner learns it."""

    def __init__(self) -> None:
        self._seen: deque[_Observed] = deque(maxlen=OBSERVED_MOST)
        self._before = 0.0
        self._speed = UNKNOWN
        self._is_stale = False

    def set_prior(self, published: float) -> None:
        """Begin at what the owner before published."""
        self._speed = min(SPEED_MOST, max(SPEED_LEAST, published))
        self._before = math.log(self._speed)

    def record_first_event(self, daemon: str, times: float, now_s: float) -> None:
        """Take the time to a first event, in times of the usual engine's forecast."""
        self._see(daemon, times, 1.0, now_s)

    def record_gaps(self, daemon: str, times: float, count: int, now_s: float) -> None:
        """Take a mean pause between events, in times of the usual.

        Parameters
        ----------
        count : int
            Of how many pauses it is the mean.
        """
        weight = min(GAPS_WEIGHT_MOST, count / GAPS_A_WEIGHT)
        self._see(daemon, times, weight, now_s)

    def _see(self, daemon: str, times: float, weight: float, now_s: float) -> None:
        if not (math.isfinite(times) and times > 0 and weight > 0):
            return
        times = min(SPEED_MOST, max(SPEED_LEAST, times))
        self._seen.append(_Observed(daemon, math.log(times), weight, now_s))
        while (
            len(self._seen) > OBSERVED_LEAST
            and now_s - self._seen[0].seen_s > LASTING_S
        ):
            self._seen.popleft()
        self._is_stale = True

    @property
    def weight(self) -> float:
        """The weight of evidence: one for each first event that counts."""
        return sum(each.weight for each in self._seen)

    @property
    def speed(self) -> float:
        """Times that it takes as long as the usual engine; 0.0: unknown."""
        if self._is_stale:
            self._is_stale = False
            self._speed = self._estimate()
        return self._speed

    def _estimate(self) -> float:
        pairs = _bounded(self._seen)
        total = sum(weight for _, weight in pairs)
        share = total / (total + CERTAIN)
        log_times = self._before + share * (_median(pairs) - self._before)
        return math.exp(log_times)

    def is_in_slow_period(self, now_s: float) -> bool:
        """Tell whether the engine is in a slow period now."""
        return self.slow_period_ratio(now_s) > 1.0

    def slow_period_ratio(self, now_s: float) -> float:
        """Return by what a slow period makes the engine slower now; 1.0: by nothing.

        It is in times of the speed that was last read.
        """
        recent: list[tuple[float, float]] = []
        for each in reversed(self._seen):
            if now_s - each.seen_s > SPELL_S:
                break
            recent.append((each.log_times, each.weight))
        if len(recent) < SPELL_LEAST or not self._speed:
            return 1.0
        times = math.exp(_median(recent)) / self._speed
        return times if times >= SPELL_TIMES else 1.0


def _bounded(seen: Iterable[_Observed]) -> list[tuple[float, float]]:
    """Return what was seen with its weight, where no daemon of several decides."""
    by_daemon: dict[str, float] = {}
    for each in seen:
        by_daemon[each.daemon] = by_daemon.get(each.daemon, 0.0) + each.weight
    most = max(1.0, FROM_ONE_MOST * sum(by_daemon.values()))
    return [
        (each.log_times, each.weight * min(1.0, most / by_daemon[each.daemon]))
        for each in seen
    ]


def _median(pairs: list[tuple[float, float]]) -> float:
    """Return the weighted median."""
    ordered = sorted(pairs)
    sums: list[float] = []
    total = 0.0
    for _, weight in ordered:
        total += weight
        sums.append(total)
    return ordered[min(len(ordered) - 1, bisect_right(sums, total / 2))][0]


def relative_speed(speed: float, usual: float) -> float:
    """Return a speed in times of the usual one, 1.0 within `ALIKE` of it.

    Parameters
    ----------
    speed, usual : float
        What the owner published, and the median of the service; 0.0: unknown.
    """
    if not speed or not usual:
        return UNKNOWN
    times = speed / usual
    if abs(times - 1.0) <= ALIKE:
        return 1.0
    return min(SPEED_MOST, max(SPEED_LEAST, times))


def speed_factor(speed: float) -> float:
    """Return by what times of the usual engine are multiplied; 1.0 where unknown."""
    return speed or 1.0
