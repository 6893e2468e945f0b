"""The calls that daemons tell an engine's owner of."""

from collections import Counter

from knapweedbridge_core.serving.engine_places import DaemonCalls
from knapweedbridge_core.serving.model_ref import ModelRef

CALLS_MAX_AGE_S = 2.5
"""How long a daemon's word of its calls stands: it is repeated each second. One that
is cut off from the store goes on serving, so its lapsed record says nothing of them.
"""


class EngineCalls:
    """All calls on one engine, by daemon and counted by model."""

    def __init__(self) -> None:
        self._by_daemon: dict[str, DaemonCalls] = {}
        self._users: Counter[ModelRef] = Counter()
        self._silent_from_s = float("inf")

    def take(
        self, daemon: str, calls: dict[ModelRef, int], unread_tokens: int, now_s: float
    ) -> list[ModelRef]:
        """Take all calls of one daemon; return the models that it has others on."""
        known = self._by_daemon.get(daemon)
        before = known.calls if known else {}
        self._by_daemon[daemon] = DaemonCalls(calls, unread_tokens, now_s)
        self._silent_from_s = min(self._silent_from_s, now_s + CALLS_MAX_AGE_S)
        if before == calls:
            return []
        self._count(before, calls)
        return [
            model
            for model in {*before, *calls}
            if before.get(model) != calls.get(model)
        ]

    def _count(self, before: dict[ModelRef, int], calls: dict[ModelRef, int]) -> None:
        self._users.subtract(before)
        self._users.update(calls)
        for model in before:
            if not self._users[model]:
                del self._users[model]

    def forget_silent(self, now_s: float) -> None:
        """Drop the calls of daemons that tell of them no more."""
        if now_s < self._silent_from_s:
            return
        for daemon, known in list(self._by_daemon.items()):
            if now_s - known.heard_s > CALLS_MAX_AGE_S:
                self.forget(daemon)
        heard = (each.heard_s for each in self._by_daemon.values())
        self._silent_from_s = min(heard, default=now_s) + CALLS_MAX_AGE_S

    def forget(self, daemon: str) -> None:
        """Drop the calls of a daemon that is gone."""
        known = self._by_daemon.pop(daemon, None)
        if known is not None:
            self._count(known.calls, {})

    def users(self, model: ModelRef) -> int:
        """Return the calls that run on a model."""
        return self._users[model]

    def load_by_daemon(self) -> dict[str, tuple[int, int]]:
        """Return calls and unread tokens, by daemon."""
        return {
            daemon: (sum(known.calls.values()), known.unread_tokens)
            for daemon, known in self._by_daemon.items()
            if known.calls
        }
