"""Request limits of teams and keys, divided among the daemons."""

import math
from dataclasses import dataclass

from knapweedbridge_core.configuration import Configuration, KeyEntry
from knapweedbridge_core.events import Request

BURST_S = 1.0
IDLE_S = 60.0


@dataclass(slots=True)
class TokenBucket:
    """Token bucket with a burst of one second's worth of its rate.

    Parameters
    ----------
    tokens : float
        Requests that may pass now.
    at_s : float
        Time of the last refill.
    """

    tokens: float
    at_s: float

    def wait_s(self, rate: float, now_s: float) -> float:
        """Refill the bucket, and return the seconds until a request may pass."""
        burst = max(1.0, rate * BURST_S)
        filled = self.tokens + max(0.0, now_s - self.at_s) * rate
        self.tokens, self.at_s = min(burst, filled), now_s
        return max(0.0, (1.0 - self.tokens) / rate)


class Limits:
    """Token buckets and counts of running requests of one daemon.

    Each daemon enforces an equal part of a limit: the limit divided by the number of
    daemons that take requests. Together they therefore never let through more than the
    limit and one burst per daemon. A caller that uses only one host gets the part of
    that host.
    """

    def __init__(self) -> None:
        self._buckets: dict[str, TokenBucket] = {}
        self._running: dict[str, int] = {}
        self._keys: dict[str, KeyEntry] = {}
        self._generation = -1

    def acquire(
        self, request: Request, configuration: Configuration, daemons: int, now_s: float
    ) -> float:
        """Take tokens for a request; return 0, or the seconds to retry after."""
        key = self._key(request.caller, configuration)
        team = configuration.teams.get(request.team)
        rates = {
            f"team {request.team}": team.requests_per_s if team else 0.0,
            f"key {request.caller}": key.requests_per_s if key else 0.0,
        }
        if key and key.concurrent:
            max_running = math.ceil(key.concurrent / daemons)
            if self._running.get(request.caller, 0) >= max_running:
                return 1.0
        limited = {name: rate / daemons for name, rate in rates.items() if rate > 0}
        buckets = {name: self._bucket(name, now_s) for name in limited}
        waits = [buckets[name].wait_s(rate, now_s) for name, rate in limited.items()]
        if any(wait > 0 for wait in waits):
            return max(waits)
        for bucket in buckets.values():
            bucket.tokens -= 1.0
        return 0.0

    def record_start(self, request: Request) -> None:
        """Count a request of a caller as running."""
        self._running[request.caller] = self._running.get(request.caller, 0) + 1

    def record_end(self, request: Request) -> None:
        """Count a request of a caller as over."""
        left = self._running.get(request.caller, 0) - 1
        if left > 0:
            self._running[request.caller] = left
        else:
            self._running.pop(request.caller, None)

    def remove_idle(self, now_s: float) -> None:
        """Remove the buckets that were not used for ``IDLE_S``."""
        for name, bucket in list(self._buckets.items()):
            if now_s - bucket.at_s >= IDLE_S:
                del self._buckets[name]

    def _bucket(self, name: str, now_s: float) -> TokenBucket:
        return self._buckets.setdefault(name, TokenBucket(1.0, now_s))

    def _key(self, caller: str, configuration: Configuration) -> KeyEntry | None:
        if configuration.generation != self._generation:
            self._generation = configuration.generation
            self._keys = {key.name: key for key in configuration.keys_by_hash.values()}
        return self._keys.get(caller)
