"""Forecasts of the request rate of each adapter version.

The forecast decides which slot a load takes and therefore how long requests
stall; see docs/design/placement.md.
"""

import heapq
import math
from abc import ABC, abstractmethod
from dataclasses import dataclass

from knapweedbridge_core.names import AdapterVersion

DECAYED_HALF_LIFE_S = 60.0
LONG_TIME_CONSTANT_S = 900.0
SHORT_TIME_CONSTANT_S = 30.0
IDLE_TRANSITIONS_PER_S = 1 / 5500
ACTIVATIONS_PER_WINDOW = SHORT_TIME_CONSTANT_S * IDLE_TRANSITIONS_PER_S
POPULAR_TIMES_MEAN = 3.0
MIN_SHARE = 0.05
SHARE_WINDOW_REQUESTS = 1000.0
WARMUP_REQUESTS = 300.0
CUSUM_THRESHOLD = 12.0
MIN_COUNT = 1e-3
PRUNE_INTERVAL_USES = 4096
MAX_EXPONENT = 50.0


class Forecast(ABC):
    """Estimates the rate of requests of each adapter version."""

    @abstractmethod
    def used(self, model: AdapterVersion, requests: float, now_s: float) -> None:
        """Record requests for an adapter version, loaded or not."""

    @abstractmethod
    def rate_per_s(self, model: AdapterVersion, now_s: float) -> float:
        """Return the expected requests per second; only the ranking must be right."""

    def expected(self, now_s: float, most: int) -> list[AdapterVersion]:
        """Return the adapter versions of the highest expected rate, highest first.

        Parameters
        ----------
        now_s : float
            The daemon's monotonic clock, in seconds.
        most : int
            Maximum length of the list.
        """
        return []


class LastUse(Forecast):
    """Ranks adapter versions by their last use alone (LRU)."""

    def __init__(self) -> None:
        self._at_s: dict[AdapterVersion, float] = {}

    def used(self, model: AdapterVersion, requests: float, now_s: float) -> None:
        """See `Forecast.used`."""
        self._at_s[model] = now_s

    def rate_per_s(self, model: AdapterVersion, now_s: float) -> float:
        """See `Forecast.rate_per_s`."""
        at_s = self._at_s.get(model)
        return 0.0 if at_s is None else 1 / (now_s - at_s + 1e-6)


class DecayedCount(Forecast):
    """Counts requests with exponential decay.

    Parameters
    ----------
    half_life_s : float
        Time after which a request counts half, in seconds.
    """

    def __init__(self, half_life_s: float = DECAYED_HALF_LIFE_S) -> None:
        self._decay_per_s = math.log(2) / half_life_s
        self._counts: dict[AdapterVersion, tuple[float, float]] = {}

    def used(self, model: AdapterVersion, requests: float, now_s: float) -> None:
        """See `Forecast.used`."""
        self._counts[model] = (self._count(model, now_s) + requests, now_s)

    def rate_per_s(self, model: AdapterVersion, now_s: float) -> float:
        """See `Forecast.rate_per_s`."""
        return self._count(model, now_s) * self._decay_per_s

    def _count(self, model: AdapterVersion, now_s: float) -> float:
        count, at_s = self._counts.get(model, (0.0, now_s))
        return count * math.exp(-self._decay_per_s * (now_s - at_s))


@dataclass(slots=True)
class _DecayedCounts:
    """Request counts of one adapter version, decayed up to ``at_s``."""

    at_s: float
    long: float = 0.0
    short: float = 0.0


class ChangeAware(Forecast):
    """Counts with a long time constant that are dropped when popularity shifts.

    A long time constant ranks a steady popularity best. Three tests override it:

    - For all adapters, a cumulative sum of log-likelihood ratios detects that the
      share of requests for popular adapters falls. The long counts then restart
      from the short ones.
    - An adapter becomes active: its short count is too high for its long rate.
    - An adapter becomes idle: the time since its last request is too long.

    Parameters
    ----------
    long_s, short_s : float
        Time constants of the two counts, in seconds.
    """

    def __init__(
        self,
        long_s: float = LONG_TIME_CONSTANT_S,
        short_s: float = SHORT_TIME_CONSTANT_S,
    ) -> None:
        self._long_s = long_s
        self._short_s = short_s
        self._uses: dict[AdapterVersion, _DecayedCounts] = {}
        self._total = _DecayedCounts(0.0)
        self._since_s = 0.0
        self._restarted_s = -math.inf
        self._short_share = 0.0
        self._detector = ChangeDetector()
        self._recorded = 0

    def used(self, model: AdapterVersion, requests: float, now_s: float) -> None:
        """See `Forecast.used`."""
        if not self._uses:
            self._start(now_s)
        self._apply_decay(self._total, now_s)
        use = self._uses.setdefault(model, _DecayedCounts(now_s))
        self._apply_decay(use, now_s)
        if self._detector.observe(self._is_popular(use), requests):
            self._restart(now_s)
        for count in (use, self._total):
            count.long += requests
            count.short += requests
        self._recorded += 1
        if self._recorded % PRUNE_INTERVAL_USES == 0:
            self._prune(now_s)

    def rate_per_s(self, model: AdapterVersion, now_s: float) -> float:
        """See `Forecast.rate_per_s`."""
        use = self._uses.get(model)
        if use is None:
            return 0.0
        long, short = self._decayed(use, now_s)
        elapsed_s = now_s - use.at_s
        steady = long / self._window_s(now_s)
        steady *= _active_probability(steady, elapsed_s)
        activated = _activation_probability(short, steady * self._short_s)
        return steady + activated * max(0.0, short / self._short_s - steady)

    def summary(self, now_s: float, most: int) -> list[tuple[AdapterVersion, float]]:
        """Return the largest long counts, for a new load order coordinator.

        Parameters
        ----------
        now_s : float
            The daemon's monotonic clock, in seconds.
        most : int
            Maximum length of the list.
        """
        counts = ((self._decayed(use, now_s)[0], m) for m, use in self._uses.items())
        return [(model, count) for count, model in heapq.nlargest(most, counts)]

    def learn(
        self, counts: list[tuple[AdapterVersion, float]], age_s: float, now_s: float
    ) -> None:
        """Add the long counts of another daemon, which it kept for ``age_s``."""
        if not self._uses:
            self._start(now_s)
        self._since_s = min(self._since_s, now_s - age_s)
        for model, count in counts:
            use = self._uses.setdefault(model, _DecayedCounts(now_s))
            self._apply_decay(use, now_s)
            use.long += count
            self._total.long += count

    def age_s(self, now_s: float) -> float:
        """Return how long the counts have been kept, in seconds."""
        return now_s - self._since_s if self._uses else 0.0

    def expected(self, now_s: float, most: int) -> list[AdapterVersion]:
        """See `Forecast.expected`."""
        rated = ((self.rate_per_s(model, now_s), model) for model in self._uses)
        return [model for _, model in heapq.nlargest(most, rated)]

    @property
    def changes(self) -> int:
        """Number of restarts of all counts."""
        return self._detector.found

    def _is_popular(self, use: _DecayedCounts) -> bool:
        mean = self._total.long / max(1, len(self._uses))
        return use.long > POPULAR_TIMES_MEAN * mean

    def _window_s(self, now_s: float) -> float:
        age_s = now_s - self._since_s
        return self._long_s * -math.expm1(-age_s / self._long_s) + self._short_s

    def _start(self, now_s: float) -> None:
        self._since_s = now_s
        self._total = _DecayedCounts(now_s)

    def _restart(self, now_s: float) -> None:
        # The counts of each adapter are updated when they are next read, so that
        # the cost of a restart does not depend on the number of adapters.
        self._short_share = self._short_s / self._window_s(now_s)
        self._since_s = self._restarted_s = now_s
        self._total.long = self._total.short

    def _decayed(self, use: _DecayedCounts, now_s: float) -> tuple[float, float]:
        long, short, at_s = use.long, use.short, use.at_s
        if at_s < self._restarted_s:
            # Only the requests above an adapter's old rate are kept across a
            # restart, so that formerly popular adapters do not stay ahead.
            elapsed_s = self._restarted_s - at_s
            expected = long * math.exp(-elapsed_s / self._long_s) * self._short_share
            short = max(0.0, short * math.exp(-elapsed_s / self._short_s) - expected)
            long, at_s = short, self._restarted_s
        elapsed_s = now_s - at_s
        long *= math.exp(-elapsed_s / self._long_s)
        short *= math.exp(-elapsed_s / self._short_s)
        return long, short

    def _apply_decay(self, use: _DecayedCounts, now_s: float) -> None:
        use.long, use.short = self._decayed(use, now_s)
        use.at_s = now_s

    def _prune(self, now_s: float) -> None:
        for model, use in list(self._uses.items()):
            if self._decayed(use, now_s)[0] < MIN_COUNT:
                del self._uses[model]


@dataclass(slots=True)
class ChangeDetector:
    """Detects that the share of requests for popular adapters falls (CUSUM).

    The sum of log-likelihood ratios of "the share halved" against "the share is
    unchanged" is kept at 0 or more; above a threshold it signals a change.
    """

    found: int = 0
    _share: float = 0.0
    _requests: float = 0.0
    _sum: float = 0.0

    def observe(self, popular: bool, requests: float) -> bool:
        """Add requests; return whether they reveal a change."""
        self._requests += requests
        before = min(max(self._share, MIN_SHARE), 1 - MIN_SHARE)
        after = before / 2
        if popular:
            ratio = math.log(after / before)
        else:
            ratio = math.log((1 - after) / (1 - before))
        warmed_up = self._requests >= WARMUP_REQUESTS
        self._sum = max(0.0, self._sum + ratio * requests) if warmed_up else 0.0
        weight = min(1.0, requests / min(self._requests, SHARE_WINDOW_REQUESTS))
        self._share += weight * (float(popular) - self._share)
        if self._sum < CUSUM_THRESHOLD:
            return False
        self.found += 1
        self._share = self._requests = self._sum = 0.0
        return True


def _activation_probability(short: float, expected: float) -> float:
    """Return the probability that an adapter became active, from its short count.

    Applies Bayes' rule to a Poisson count of the long rate and a broad
    distribution of counts.
    """
    if short < 1.0:
        return 0.0
    expected = max(expected, MIN_COUNT)
    steady = short * math.log(expected) - expected - math.lgamma(short + 1)
    broad = -math.log((short + 1) * (short + 2))
    odds = math.exp(min(broad - steady, MAX_EXPONENT)) * ACTIVATIONS_PER_WINDOW
    return odds / (1 + odds)


def _active_probability(rate_per_s: float, idle_s: float) -> float:
    """Return the probability that an adapter is still in use after an idle time.

    A Poisson process of this rate rarely has such a gap; an adapter that became
    idle during it (at the rate ``IDLE_TRANSITIONS_PER_S``) always has.
    """
    if rate_per_s <= 0:
        return 1.0
    exponent = min(rate_per_s * idle_s, MAX_EXPONENT)
    return 1 / (1 + IDLE_TRANSITIONS_PER_S / rate_per_s * math.expm1(exponent))
