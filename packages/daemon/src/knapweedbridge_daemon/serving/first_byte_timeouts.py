"""How long attempts are waited for until they begin."""

import math
from collections import defaultdict
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import anyio

from knapweedbridge_core.serving import ClusterState, ModelRef
from knapweedbridge_daemon.serving.clock import loop_time_s
from knapweedbridge_daemon.serving.http_client import ConnectionBrokenError

WITHDRAWAL_MARGIN_S = 0.25
"""Time before the operators' bound at which an attempt is given up: its connection must
be closed at the engine by then."""


class FirstByteTimeoutError(ConnectionBrokenError):
    """An attempt was given up as it had not begun; it may run all the same."""


class FirstByteTimeout:
    """The patience with one attempt until its first event, or its answer's head.

    Parameters
    ----------
    model : ModelRef or None
        The adapter that it is for; None: no adapter.
    version : int
        The version that it runs on.
    silent_until_s : float
        Until when it may stay silent, on the event loop's clock.
    """

    __slots__ = ("model", "scope", "version", "withdrawn_s")

    def __init__(
        self, model: ModelRef | None, version: int, silent_until_s: float
    ) -> None:
        self.model = model
        self.version = version
        self.scope = anyio.CancelScope(deadline=silent_until_s)
        self.withdrawn_s = math.inf

    def bound(self, withdrawn_s: float) -> None:
        """Take until when work may begin on the version; then it is given up."""
        self.withdrawn_s = withdrawn_s
        self.scope.deadline = min(self.scope.deadline, withdrawn_s)

    def error(self) -> FirstByteTimeoutError:
        """Return the error of an attempt that has been given up."""
        is_superseded = loop_time_s() >= self.withdrawn_s
        return FirstByteTimeoutError("superseded" if is_superseded else "silent")


class FirstByteTimeouts:
    """Bounds the patience with all attempts of one daemon that have not begun.

    A version may be named at any time while they wait, so each naming looks at those of
    its adapter.

    Parameters
    ----------
    cluster : Beliefs
        The versions that were named.
    steady_s : callable
        The clock of those.
    """

    __slots__ = ("_beliefs", "_steady_s", "_waiting")

    def __init__(self, cluster: ClusterState, steady_s: Callable[[], float]) -> None:
        self._beliefs = cluster
        self._steady_s = steady_s
        self._waiting: dict[ModelRef, set[FirstByteTimeout]] = defaultdict(set)

    @contextmanager
    def waiting(self, patience: FirstByteTimeout) -> Iterator[None]:
        """Run an attempt with patience; raises FirstByteTimeoutError where that has ended."""
        if patience.model is not None:
            self._waiting[patience.model].add(patience)
            self._bound(patience.model, patience)
        try:
            with patience.scope:
                yield
        finally:
            self._forget(patience)
        if patience.scope.cancelled_caught:
            raise patience.error()

    def begun(self, patience: FirstByteTimeout) -> None:
        """Take that an attempt has begun; raises FirstByteTimeoutError if that is too late."""
        if patience.scope.cancel_called:
            # The answer came as patience ended. The next wait is cancelled, which
            # would leave the caller's answer begun and unwritten: its connection is
            # then closed without one. So this answer counts as one that did not come.
            raise patience.error()
        patience.scope.deadline = math.inf
        self._forget(patience)

    def record_version(self, model: ModelRef) -> None:
        """Take that a version of an adapter was named."""
        for patience in self._waiting.get(model, ()):
            self._bound(model, patience)

    def _bound(self, model: ModelRef, patience: FirstByteTimeout) -> None:
        until_s = self._beliefs.begins_until_s(model, patience.version)
        if until_s < math.inf:
            left_s = until_s - self._steady_s()
            patience.bound(loop_time_s() + left_s - WITHDRAWAL_MARGIN_S)

    def _forget(self, patience: FirstByteTimeout) -> None:
        waiting = self._waiting.get(patience.model) if patience.model else None
        if waiting is None:
            return
        waiting.discard(patience)
        if not waiting:
            del self._waiting[patience.model]  # type: ignore[arg-type]
