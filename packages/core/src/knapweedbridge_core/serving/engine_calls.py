"""Calls on one engine that daemons report to its owner."""

from collections import Counter

from knapweedbridge_core.serving.engine_places import DaemonCalls
from knapweedbridge_core.serving.model_ref import ModelRef

CALLS_MAX_AGE_S = 2.5
"""How long a daemon's report of its calls is valid; it is repeated each second. A
daemon that is cut off from the store goes on serving, so its lapsed store record
says nothing about its calls."""


class EngineCalls:
    """All calls on one engine, by daemon and counted by model."""

    def __init__(self) -> None:
        self._by_daemon: dict[str, DaemonCalls] = {}
        self._calls: Counter[ModelRef] = Counter()
        self._oldest_expires_s = float("inf")

    def take(
        self, daemon: str, calls: dict[ModelRef, int], unread_tokens: int, now_s: float
    ) -> list[ModelRef]:
        """Replace the calls of one daemon; return the models whose count changed."""
        known = self._by_daemon.get(daemon)
        before = known.calls if known else {}
        self._by_daemon[daemon] = DaemonCalls(calls, unread_tokens, now_s)
        self._oldest_expires_s = min(self._oldest_expires_s, now_s + CALLS_MAX_AGE_S)
        if before == calls:
            return []
        self._recount(before, calls)
        return [
            model
            for model in {*before, *calls}
            if before.get(model) != calls.get(model)
        ]

    def _recount(self, before: dict[ModelRef, int], calls: dict[ModelRef, int]) -> None:
        self._calls.subtract(before)
        self._calls.update(calls)
        for model in before:
            if not self._calls[model]:
                del self._calls[model]

    def forget_silent(self, now_s: float) -> None:
        """Remove the calls of daemons that no longer report any."""
        if now_s < self._oldest_expires_s:
            return
        for daemon, known in list(self._by_daemon.items()):
            if now_s - known.heard_s > CALLS_MAX_AGE_S:
                self.forget(daemon)
        reported_s = (each.heard_s for each in self._by_daemon.values())
        self._oldest_expires_s = min(reported_s, default=now_s) + CALLS_MAX_AGE_S

    def forget(self, daemon: str) -> None:
        """Remove the calls of a daemon that is gone."""
        known = self._by_daemon.pop(daemon, None)
        if known is not None:
            self._recount(known.calls, {})

    def users(self, model: ModelRef) -> int:
        """Return the number of calls that run on a model."""
        return self._calls[model]

    def load_by_daemon(self) -> dict[str, tuple[int, int]]:
        """Return the numbers of calls and unread tokens, by daemon."""
        return {
            daemon: (sum(known.calls.values()), known.unread_tokens)
            for daemon, known in self._by_daemon.items()
            if known.calls
        }
