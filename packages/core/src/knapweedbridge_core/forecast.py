"""Forecasts of how often an adapter version will be asked for.

The forecast decides which slot a load takes, so it decides how long requests
stall; see docs/design/placement.md.
"""

import heapq
import math
from abc import ABC, abstractmethod
from dataclasses import dataclass

from knapweedbridge_core.names import AdapterVersion

DECAYED_HALF_LIFE_S = 60.0
LONG_S = 900.0
SHORT_S = 30.0
FALLS_IDLE_PER_S = 1 / 5500
WAKES_PER_WINDOW = SHORT_S * FALLS_IDLE_PER_S
FORETOLD_TIMES_MEAN = 3.0
SMALLEST_SHARE = 0.05
SHARE_REQUESTS = 1000.0
LEARN_REQUESTS = 300.0
CHANGE_LIMIT = 12.0
SMALLEST_COUNT = 1e-3
FORGET_EVERY_USES = 4096
LARGEST_EXPONENT = 50.0


class Forecast(ABC):
    """Estimates the rate of requests of each adapter version."""

    @abstractmethod
    def used(self, model: AdapterVersion, requests: float, now_s: float) -> None:
        """Note requests for an adapter version, loaded or not."""

    @abstractmethod
    def rate_per_s(self, model: AdapterVersion, now_s: float) -> float:
        """Return the expected requests a second; only its order must hold."""

    def expected(self, now_s: float, most: int) -> list[AdapterVersion]:
        """Return those likeliest to be asked for, most likely first.

        Parameters
        ----------
        now_s : float
            The daemon's monotonic clock, in seconds.
        most : int
            Length of the list at most.
        """
        return []


class LastUse(Forecast):
    """Orders by the last use alone (LRU)."""

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
    """Counts requests, each worth half after a half-life.

    Parameters
    ----------
    half_life_s : float
        Time after which a request counts half.
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
class _Use:
    """Counts of one adapter version, faded up to ``at_s``."""

    at_s: float
    long: float = 0.0
    short: float = 0.0


class ChangeAware(Forecast):
    """Long counts that let go when popularity shifts.

    A long memory orders a steady popularity best; three tests let go of it.
    All adapters: the share of requests that the long counts foretold falls,
    seen by a cumulative sum of log likelihood ratios; then the long counts
    start again from the short ones. One adapter that wakes: its short count is
    too high for its long rate. One that fell idle: its silence is too long.

    Parameters
    ----------
    long_s, short_s : float
        Time constants of the two memories, in seconds.
    """

    def __init__(self, long_s: float = LONG_S, short_s: float = SHORT_S) -> None:
        self._long_s = long_s
        self._short_s = short_s
        self._uses: dict[AdapterVersion, _Use] = {}
        self._total = _Use(0.0)
        self._since_s = 0.0
        self._changed_s = -math.inf
        self._short_share = 0.0
        self._change = ChangeTest()
        self._noted = 0

    def used(self, model: AdapterVersion, requests: float, now_s: float) -> None:
        """See `Forecast.used`."""
        if not self._uses:
            self._begin(now_s)
        self._fade(self._total, now_s)
        use = self._uses.setdefault(model, _Use(now_s))
        self._fade(use, now_s)
        if self._change.saw(self._foretold(use), requests):
            self._start_again(now_s)
        for count in (use, self._total):
            count.long += requests
            count.short += requests
        self._noted += 1
        if self._noted % FORGET_EVERY_USES == 0:
            self._forget(now_s)

    def rate_per_s(self, model: AdapterVersion, now_s: float) -> float:
        """See `Forecast.rate_per_s`."""
        use = self._uses.get(model)
        if use is None:
            return 0.0
        long, short = self._faded(use, now_s)
        past_s = now_s - use.at_s
        steady = long / self._window_s(now_s)
        steady *= _still_active(steady, past_s)
        woken = _woken(short, steady * self._short_s)
        return steady + woken * max(0.0, short / self._short_s - steady)

    def summary(self, now_s: float, most: int) -> list[tuple[AdapterVersion, float]]:
        """Return the largest long counts, for the load order's successor.

        Parameters
        ----------
        now_s : float
            The daemon's monotonic clock, in seconds.
        most : int
            Length of the list at most.
        """
        counts = ((self._faded(use, now_s)[0], m) for m, use in self._uses.items())
        return [(model, count) for count, model in heapq.nlargest(most, counts)]

    def learn(
        self, counts: list[tuple[AdapterVersion, float]], age_s: float, now_s: float
    ) -> None:
        """Add the long counts that another daemon kept for a time."""
        if not self._uses:
            self._begin(now_s)
        self._since_s = min(self._since_s, now_s - age_s)
        for model, count in counts:
            use = self._uses.setdefault(model, _Use(now_s))
            self._fade(use, now_s)
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
        """How often all counts started again."""
        return self._change.found

    def _foretold(self, use: _Use) -> bool:
        mean = self._total.long / max(1, len(self._uses))
        return use.long > FORETOLD_TIMES_MEAN * mean

    def _window_s(self, now_s: float) -> float:
        age_s = now_s - self._since_s
        return self._long_s * -math.expm1(-age_s / self._long_s) + self._short_s

    def _begin(self, now_s: float) -> None:
        self._since_s = now_s
        self._total = _Use(now_s)

    def _start_again(self, now_s: float) -> None:
        # The counts themselves change when they are next read, so that a
        # change costs the same for any number of adapters.
        self._short_share = self._short_s / self._window_s(now_s)
        self._since_s = self._changed_s = now_s
        self._total.long = self._total.short

    def _faded(self, use: _Use, now_s: float) -> tuple[float, float]:
        long, short, at_s = use.long, use.short, use.at_s
        if at_s < self._changed_s:
            # What an adapter was asked for beyond its old rate outlives a
            # change: the old favourites' last requests do not.
            past_s = self._changed_s - at_s
            foretold = long * math.exp(-past_s / self._long_s) * self._short_share
            short = max(0.0, short * math.exp(-past_s / self._short_s) - foretold)
            long, at_s = short, self._changed_s
        past_s = now_s - at_s
        long *= math.exp(-past_s / self._long_s)
        short *= math.exp(-past_s / self._short_s)
        return long, short

    def _fade(self, use: _Use, now_s: float) -> None:
        use.long, use.short = self._faded(use, now_s)
        use.at_s = now_s

    def _forget(self, now_s: float) -> None:
        for model, use in list(self._uses.items()):
            if self._faded(use, now_s)[0] < SMALLEST_COUNT:
                del self._uses[model]


@dataclass(slots=True)
class ChangeTest:
    """Tells when requests stop being those that were foretold.

    The sum of log likelihood ratios of "the foretold share halved" against
    "it is as it was" is kept above 0; a change is found above a limit.
    """

    found: int = 0
    _share: float = 0.0
    _seen: float = 0.0
    _sum: float = 0.0

    def saw(self, foretold: bool, requests: float) -> bool:
        """Take a use; return True where a change is found."""
        self._seen += requests
        before = min(max(self._share, SMALLEST_SHARE), 1 - SMALLEST_SHARE)
        after = before / 2
        if foretold:
            ratio = math.log(after / before)
        else:
            ratio = math.log((1 - after) / (1 - before))
        learnt = self._seen >= LEARN_REQUESTS
        self._sum = max(0.0, self._sum + ratio * requests) if learnt else 0.0
        pace = min(1.0, requests / min(self._seen, SHARE_REQUESTS))
        self._share += pace * (float(foretold) - self._share)
        if self._sum < CHANGE_LIMIT:
            return False
        self.found += 1
        self._share = self._seen = self._sum = 0.0
        return True


def _woken(short: float, expected: float) -> float:
    """Return the chance that an adapter woke, from its short count.

    Bayes' rule between a Poisson count of the long rate and a broad one.
    """
    if short < 1.0:
        return 0.0
    expected = max(expected, SMALLEST_COUNT)
    steady = short * math.log(expected) - expected - math.lgamma(short + 1)
    broad = -math.log((short + 1) * (short + 2))
    odds = math.exp(min(broad - steady, LARGEST_EXPONENT)) * WAKES_PER_WINDOW
    return odds / (1 + odds)


def _still_active(rate_per_s: float, idle_s: float) -> float:
    """Return the chance that an adapter unused for a while is still in use.

    A Poisson stream of this rate leaves such a gap seldom; an adapter that
    fell idle at some moment of it (``FALLS_IDLE_PER_S``) always does.
    """
    if rate_per_s <= 0:
        return 1.0
    exponent = min(rate_per_s * idle_s, LARGEST_EXPONENT)
    return 1 / (1 + FALLS_IDLE_PER_S / rate_per_s * math.expm1(exponent))
