"""Track the calls by which a daemon follows the store, and pace the retries."""

import random

import anyio

from knapweedbridge_daemon.errors import StoreError
from knapweedbridge_daemon.serving.hub import Hub

FIRST_PAUSE_S = 0.1
"""Lower bound of the pause after a call that failed."""

CALL_EVERY_S = 0.6
"""Longest time from the start of a failed call to the start of the next. The last
failed call shows until when an outage has lasted."""


class StoreCalls:
    """Record of the store calls of one task, which makes one at a time.

    Parameters
    ----------
    hub : Hub
        Shared state in which results are recorded.
    """

    def __init__(self, hub: Hub) -> None:
        self._hub = hub
        self._failures = 0
        self._began_s = float("-inf")

    def begin(self) -> float:
        """Record the start of a call; return the time of the hub's steady clock."""
        self._began_s = anyio.current_time()
        return self._hub.steady_s()

    @property
    def is_connecting(self) -> bool:
        """Whether the last call may still be opening its connection."""
        return anyio.current_time() - self._began_s <= CALL_EVERY_S

    def record_answer(self, began_s: float) -> None:
        """Record the response to a call that began at a time of the steady clock."""
        self._hub.store_age.confirm(began_s)
        self._hub.outage.answered(anyio.current_time())
        if self._failures:
            self._hub.log.info("store.regained", failures=self._failures)
        self._failures = 0

    def record_failure(self, error: StoreError) -> float:
        """Record a failure; return the pause before the next call, in seconds."""
        if not self._failures:
            self._hub.log.error("store.lost", error=str(error))
        self._failures += 1
        self._hub.metrics.count("store_failures")
        self._hub.outage.failed(self._began_s)
        took_s = anyio.current_time() - self._began_s
        longest_s = max(FIRST_PAUSE_S, CALL_EVERY_S - took_s)
        pause_s = min(longest_s, FIRST_PAUSE_S * 2**self._failures)
        # Jitter keeps all daemons from calling at once when the store returns.
        return pause_s * random.uniform(0.5, 1.0)
