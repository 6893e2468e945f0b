"""Timeouts of attempts that have not started to respond."""

import math
from collections import defaultdict
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import anyio

from knapweedbridge_core.serving import ClusterState, ModelRef
from knapweedbridge_daemon.serving.clock import loop_time_s
from knapweedbridge_daemon.serving.http_client import ConnectionBrokenError

WITHDRAWAL_MARGIN_S = 0.25
"""Time before the operators' bound on a superseded version at which an attempt is given
up: its connection must be closed at the engine by then."""


class FirstByteTimeoutError(ConnectionBrokenError):
    """An attempt was given up before it started to respond; it may run all the same."""


class FirstByteTimeout:
    """The timeout of one attempt until its first event, or its response's head.

    Parameters
    ----------
    model : ModelRef or None
        The adapter of the attempt; None: no adapter.
    version : int
        The adapter version that the attempt runs on.
    deadline_s : float
        When the attempt must have started to respond, on the event loop's clock.
    """

    __slots__ = ("model", "scope", "version", "withdrawn_s")

    def __init__(self, model: ModelRef | None, version: int, deadline_s: float) -> None:
        self.model = model
        self.version = version
        self.scope = anyio.CancelScope(deadline=deadline_s)
        self.withdrawn_s = math.inf

    def withdraw_at(self, withdrawn_s: float) -> None:
        """Give the attempt up at a time, because its version is superseded."""
        self.withdrawn_s = withdrawn_s
        self.scope.deadline = min(self.scope.deadline, withdrawn_s)

    def make_error(self) -> FirstByteTimeoutError:
        """Return the error of an attempt that was given up."""
        is_superseded = loop_time_s() >= self.withdrawn_s
        return FirstByteTimeoutError("superseded" if is_superseded else "silent")


class FirstByteTimeouts:
    """The timeouts of all attempts of a daemon that have not started to respond.

    A version may be published at any time while attempts wait, which updates the
    timeouts of that adapter's attempts.

    Parameters
    ----------
    cluster : ClusterState
        Holds the published versions.
    steady_s : callable
        Returns the time on the clock of those versions.
    """

    __slots__ = ("_cluster", "_steady_s", "_waiting")

    def __init__(self, cluster: ClusterState, steady_s: Callable[[], float]) -> None:
        self._cluster = cluster
        self._steady_s = steady_s
        self._waiting: dict[ModelRef, set[FirstByteTimeout]] = defaultdict(set)

    @contextmanager
    def enforce(self, timeout: FirstByteTimeout) -> Iterator[None]:
        """Run an attempt with a timeout.

        Raises
        ------
        FirstByteTimeoutError
            If the attempt did not start to respond in time.
        """
        if timeout.model is not None:
            self._waiting[timeout.model].add(timeout)
            self._update_deadline(timeout.model, timeout)
        try:
            with timeout.scope:
                yield
        finally:
            self._forget(timeout)
        if timeout.scope.cancelled_caught:
            raise timeout.make_error()

    def record_start(self, timeout: FirstByteTimeout) -> None:
        """Record that an attempt has started to respond.

        Raises
        ------
        FirstByteTimeoutError
            If the timeout has expired already.
        """
        if timeout.scope.cancel_called:
            # The response arrived just as the timeout expired. The cancelled scope
            # would interrupt the next wait, with the caller's response started but not
            # written, so that its connection would be closed without one. So the
            # response counts as missing.
            raise timeout.make_error()
        timeout.scope.deadline = math.inf
        self._forget(timeout)

    def record_version(self, model: ModelRef) -> None:
        """Update the timeouts of an adapter after one of its versions was published."""
        for timeout in self._waiting.get(model, ()):
            self._update_deadline(model, timeout)

    def _update_deadline(self, model: ModelRef, timeout: FirstByteTimeout) -> None:
        until_s = self._cluster.begins_until_s(model, timeout.version)
        if until_s < math.inf:
            left_s = until_s - self._steady_s()
            timeout.withdraw_at(loop_time_s() + left_s - WITHDRAWAL_MARGIN_S)

    def _forget(self, timeout: FirstByteTimeout) -> None:
        waiting = self._waiting.get(timeout.model) if timeout.model else None
        if waiting is None:
            return
        waiting.discard(timeout)
        if not waiting:
            del self._waiting[timeout.model]  # type: ignore[arg-type]
