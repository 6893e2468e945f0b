"""How the calls go by which a daemon follows the store, and when the next is made."""

import random

import anyio

from knapweedbridge_daemon.errors import StoreError
from knapweedbridge_daemon.serving.hub import Hub

FIRST_PAUSE_S = 0.1
CALL_EVERY_S = 0.6
"""Pause after a first call that fails, and the longest from one begin to the next: the
last failed call tells when an outage was not over yet."""


class StoreCalls:
    """The calls of one task, which makes one at a time.

    Parameters
    ----------
    hub : Hub
        Is told how they go.
    """

    def __init__(self, hub: Hub) -> None:
        self._hub = hub
        self._failures = 0
        self._began_s = float("-inf")

    def begin(self) -> float:
        """Note that a call begins; return the moment by the hub's steady clock."""
        self._began_s = anyio.current_time()
        return self._hub.steady_s()

    @property
    def is_connecting(self) -> bool:
        """Whether the last call may still be opening its connection."""
        return anyio.current_time() - self._began_s <= CALL_EVERY_S

    def answered(self, began_s: float) -> None:
        """Note the answer of a call that began at a moment of the steady clock."""
        self._hub.store_age.confirm(began_s)
        self._hub.outage.answered(anyio.current_time())
        if self._failures:
            self._hub.log.info("store.regained", failures=self._failures)
        self._failures = 0

    def failed(self, error: StoreError) -> float:
        """Note a failure; return the pause before the next call, in seconds."""
        if not self._failures:
            self._hub.log.error("store.lost", error=str(error))
        self._failures += 1
        self._hub.metrics.count("store_failures")
        self._hub.outage.failed(self._began_s)
        took_s = anyio.current_time() - self._began_s
        longest_s = max(FIRST_PAUSE_S, CALL_EVERY_S - took_s)
        pause_s = min(longest_s, FIRST_PAUSE_S * 2**self._failures)
        # Spread: at the store's return all daemons would else call at once.
        return pause_s * random.uniform(0.5, 1.0)
