"""Counters and latency histograms, and the page that serves them."""

from bisect import bisect_left
from collections import Counter, defaultdict

BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 15.0)
"""Upper bounds; the objectives of the users' routes lie between 0.1 and 1 s."""


class MetricsRegistry:
    """Counts in memory; the text is made only when it is asked for."""

    def __init__(self) -> None:
        self.counters: Counter[tuple[str, str]] = Counter()
        self.gauges: dict[str, float] = {}
        self._histograms: dict[str, list[int]] = defaultdict(
            lambda: [0] * (len(BUCKETS_S) + 1)
        )
        self._sums: dict[str, float] = defaultdict(float)

    def count(self, name: str, kind: str = "", value: int = 1) -> None:
        """Add to a counter; ``kind`` comes from a bounded set of words."""
        self.counters[name, kind] += value

    def time(self, name: str, seconds: float) -> None:
        """Add a duration to a histogram."""
        self._histograms[name][bisect_left(BUCKETS_S, seconds)] += 1
        self._sums[name] += seconds

    def render(self) -> bytes:
        """Return all as the text that Prometheus reads."""
        # Imported here: it costs 60 ms at the start, and few daemons are scraped
        # in the seconds after it.
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
            Metric,
        )
        from prometheus_client.exposition import generate_latest

        families: dict[str, CounterMetricFamily] = {}
        for (name, kind), value in sorted(self.counters.items()):
            family = families.setdefault(
                name, CounterMetricFamily(_full(name), name, labels=["kind"])
            )
            family.add_metric([kind], value)
        found: list[Metric] = [*families.values()]
        found += [
            GaugeMetricFamily(_full(name), name, value=value)
            for name, value in sorted(self.gauges.items())
        ]
        for name, counts in sorted(self._histograms.items()):
            histogram = HistogramMetricFamily(_full(name), name)
            histogram.add_metric([], self._buckets(counts), self._sums[name])
            found.append(histogram)

        class _Page:
            def collect(self) -> list:
                return found

        return generate_latest(_Page())

    @staticmethod
    def _buckets(counts: list[int]) -> list[tuple[str, float]]:
        total = 0
        buckets: list[tuple[str, float]] = []
        for bound, count in zip([*map(str, BUCKETS_S), "+Inf"], counts, strict=True):
            total += count
            buckets.append((bound, total))
        return buckets


def _full(name: str) -> str:
    return f"knapweedbridge_{name}"
