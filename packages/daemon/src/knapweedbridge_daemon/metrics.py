"""Counters, timers and gauges, sent by statsd."""

from collections import Counter

import statsd

from knapweedbridge_core.addresses import split_address

PREFIX = "knapweedbridge"


class Metrics:
    """Counts in memory, and sends to statsd where the settings name one.

    Parameters
    ----------
    address : str
        ``IP:port`` of statsd over UDP, or empty.
    """

    def __init__(self, address: str) -> None:
        self.counters: Counter[str] = Counter()
        self._client: statsd.StatsClient | None = None
        if address:
            ip, port = split_address(address)
            self._client = statsd.StatsClient(ip, port, prefix=PREFIX)

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] += value
        if self._client is not None:
            self._client.incr(name, value)

    def time(self, name: str, seconds: float) -> None:
        """Send a duration."""
        if self._client is not None:
            self._client.timing(name, seconds * 1000)

    def gauge(self, name: str, value: float) -> None:
        """Send a level."""
        if self._client is not None:
            self._client.gauge(name, value)
