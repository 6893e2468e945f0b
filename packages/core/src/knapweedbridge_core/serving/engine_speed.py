"""Speed of one engine: the ratio of its times to those of its service's usual engine.

Engines of one service take 0.6 to 1.6 times the usual time, and each of them takes 2.5
times as long during 15% of its time, in periods of 0.6 s. One daemon of 71 calls an
engine twice in half a minute, so its owner collects the observations of all daemons.
Medians ignore the slow periods, and daemons that report wrong times.
"""

import math
from bisect import bisect_right
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

MIN_SPEED = 0.3
MAX_SPEED = 6.0
"""Bounds of a speed."""

SPEED_TOLERANCE = 0.3
"""Distance from 1.0 within which a speed counts as usual. Under heavy load estimates of
equal engines differ by as much, and a call that is moved for that leaves the engine
that holds its adapter."""

UNKNOWN_SPEED = 0.0
"""Speed of an engine that is not known."""

OBSERVATION_MAX_AGE_S = 8.0
"""How long an observation counts while newer ones arrive: a change shows after half of
this time, and a period of 0.6 s gives too few to move the median."""

MAX_OBSERVATIONS = 256
"""Observations kept at most. An engine of 32 slots gives 20 a second under heavy load;
with 64 kept, an overload of 3 s, in which each step takes longer, passed for a slow
engine."""

MIN_OBSERVATIONS = 24
"""Observations kept at any age: an idle engine keeps its speed."""

MAX_DAEMON_SHARE = 0.34
"""Largest share of the weight that one daemon has among several."""

PRIOR_WEIGHT = 9.0
"""Weight of the prior among the observations, so that the first ones move little: two
responses in a slow period, which weigh 3 each, must not make the engine slow."""

GAPS_PER_WEIGHT = 8
"""Gaps between events whose mean weighs as much as one time to a first event."""

MAX_GAPS_WEIGHT = 2.0
"""Largest weight of the gaps of one report, as they are of the same moment."""

SLOW_PERIOD_WINDOW_S = 0.3
"""Age up to which observations show a slow period, half the length of one."""

SLOW_PERIOD_RATIO = 1.6
"""Ratio to its lasting speed from which on an engine is in a slow period; responses
take 2.5 times as long then, and the noise of one observation is 1.3."""

MIN_SLOW_OBSERVATIONS = 2
"""Observations that show a slow period; a single one may be a lost packet."""


@dataclass(slots=True, frozen=True)
class _Observation:
    """An observation: the logarithm of the ratio to the usual, and its weight."""

    daemon: str
    log_ratio: float
    weight: float
    observed_s: float


class EngineSpeed:
    """Speed of one start of an engine, as its owner estimates it."""

    def __init__(self) -> None:
        self._observations: deque[_Observation] = deque(maxlen=MAX_OBSERVATIONS)
        self._log_prior = 0.0
        self._speed = UNKNOWN_SPEED
        self._is_stale = False

    def set_prior(self, published: float) -> None:
        """Start from the speed that the previous owner published."""
        self._speed = min(MAX_SPEED, max(MIN_SPEED, published))
        self._log_prior = math.log(self._speed)

    def record_first_event(self, daemon: str, ratio: float, now_s: float) -> None:
        """Record the ratio of a time to a first event to its forecast."""
        self._add(daemon, ratio, 1.0, now_s)

    def record_gaps(self, daemon: str, ratio: float, count: int, now_s: float) -> None:
        """Record the ratio of a mean gap between events to the usual one.

        Parameters
        ----------
        count : int
            Number of gaps that it is the mean of.
        """
        weight = min(MAX_GAPS_WEIGHT, count / GAPS_PER_WEIGHT)
        self._add(daemon, ratio, weight, now_s)

    def _add(self, daemon: str, ratio: float, weight: float, now_s: float) -> None:
        if not (math.isfinite(ratio) and ratio > 0 and weight > 0):
            return
        ratio = min(MAX_SPEED, max(MIN_SPEED, ratio))
        self._observations.append(_Observation(daemon, math.log(ratio), weight, now_s))
        while (
            len(self._observations) > MIN_OBSERVATIONS
            and now_s - self._observations[0].observed_s > OBSERVATION_MAX_AGE_S
        ):
            self._observations.popleft()
        self._is_stale = True

    @property
    def weight(self) -> float:
        """Total weight of the observations; a first event weighs 1."""
        return sum(each.weight for each in self._observations)

    @property
    def speed(self) -> float:
        """Ratio of its times to those of the usual engine; 0.0: unknown."""
        if self._is_stale:
            self._is_stale = False
            self._speed = self._estimate()
        return self._speed

    def _estimate(self) -> float:
        pairs = _weighted(self._observations)
        total = sum(weight for _, weight in pairs)
        share = total / (total + PRIOR_WEIGHT)
        log_ratio = self._log_prior + share * (_median(pairs) - self._log_prior)
        return math.exp(log_ratio)

    def is_in_slow_period(self, now_s: float) -> bool:
        """Return whether the engine is in a slow period now."""
        return self.slow_period_ratio(now_s) > 1.0

    def slow_period_ratio(self, now_s: float) -> float:
        """Return the ratio of current times to the lasting ones; 1.0: no slow period.

        It is relative to the value of `speed` that was read last.
        """
        recent: list[tuple[float, float]] = []
        for each in reversed(self._observations):
            if now_s - each.observed_s > SLOW_PERIOD_WINDOW_S:
                break
            recent.append((each.log_ratio, each.weight))
        if len(recent) < MIN_SLOW_OBSERVATIONS or not self._speed:
            return 1.0
        ratio = math.exp(_median(recent)) / self._speed
        return ratio if ratio >= SLOW_PERIOD_RATIO else 1.0


def _weighted(observations: Iterable[_Observation]) -> list[tuple[float, float]]:
    """Return ratios and weights, limiting the share of each daemon."""
    by_daemon: dict[str, float] = {}
    for each in observations:
        by_daemon[each.daemon] = by_daemon.get(each.daemon, 0.0) + each.weight
    limit = max(1.0, MAX_DAEMON_SHARE * sum(by_daemon.values()))
    return [
        (each.log_ratio, each.weight * min(1.0, limit / by_daemon[each.daemon]))
        for each in observations
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
    """Return a speed relative to the usual one, 1.0 within `SPEED_TOLERANCE` of it.

    Parameters
    ----------
    speed, usual : float
        The published speed, and the median of the service; 0.0: unknown.
    """
    if not speed or not usual:
        return UNKNOWN_SPEED
    ratio = speed / usual
    if abs(ratio - 1.0) <= SPEED_TOLERANCE:
        return 1.0
    return min(MAX_SPEED, max(MIN_SPEED, ratio))


def speed_factor(speed: float) -> float:
    """Return the factor for times of the usual engine; 1.0 if the speed is unknown."""
    return speed or 1.0
