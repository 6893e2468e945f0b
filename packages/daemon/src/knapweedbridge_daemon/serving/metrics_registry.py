"""Counters, gauges and latency histograms in the Prometheus text format."""

from bisect import bisect_left
from collections import Counter, defaultdict

BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 15.0)
"""Upper bounds of the histogram buckets. The latency objectives of the users' routes
lie between 0.1 and 1 s."""


class MetricsRegistry:
    """In-memory metrics, which are rendered only on request.

    Attributes
    ----------
    counters : Counter
        Counts by name and kind.
    gauges : dict
        Values by name.
    """

    def __init__(self) -> None:
        self.counters: Counter[tuple[str, str]] = Counter()
        self.gauges: dict[str, float] = {}
        self._histograms: dict[str, list[int]] = defaultdict(
            lambda: [0] * (len(BUCKETS_S) + 1)
        )
        self._sums: dict[str, float] = defaultdict(float)

    def count(self, name: str, kind: str = "", value: int = 1) -> None:
        """Increment a counter; ``kind`` must come from a bounded set of labels."""
        self.counters[name, kind] += value

    def time(self, name: str, seconds: float) -> None:
        """Record a duration in a histogram."""
        self._histograms[name][bisect_left(BUCKETS_S, seconds)] += 1
        self._sums[name] += seconds

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        # Imported here, as the import takes 60 ms and few daemons are scraped in the
        # first seconds after their start.
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
                name, CounterMetricFamily(_prefixed_name(name), name, labels=["kind"])
            )
            family.add_metric([kind], value)
        metrics: list[Metric] = [*families.values()]
        metrics += [
            GaugeMetricFamily(_prefixed_name(name), name, value=value)
            for name, value in sorted(self.gauges.items())
        ]
        for name, counts in sorted(self._histograms.items()):
            histogram = HistogramMetricFamily(_prefixed_name(name), name)
            histogram.add_metric([], self._cumulate(counts), self._sums[name])
            metrics.append(histogram)

        class _Page:
            def collect(self) -> list:
                return metrics

        return generate_latest(_Page())

    @staticmethod
    def _cumulate(counts: list[int]) -> list[tuple[str, float]]:
        total = 0
        buckets: list[tuple[str, float]] = []
        for bound, count in zip([*map(str, BUCKETS_S), "+Inf"], counts, strict=True):
            total += count
            buckets.append((bound, total))
        return buckets


def _prefixed_name(name: str) -> str:
    return f"knapweedbridge_{name}"
