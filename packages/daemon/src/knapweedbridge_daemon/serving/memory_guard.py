"""Keeps the memory held for callers within one budget."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import cast

import anyio

from knapweedbridge_core.serving import HeldKind, MemoryBudget
from knapweedbridge_core.serving.body_intake import COPIES
from knapweedbridge_core.serving.memory_budget import RETRY_AFTER_S
from knapweedbridge_daemon.serving.dialects import Refusal
from knapweedbridge_daemon.serving.http_server import (
    CallerDisconnectedError,
    Handler,
    ReceivedRequest,
    Responder,
)
from knapweedbridge_daemon.serving.hub import Hub
from knapweedbridge_daemon.serving.wire import Headers, ResponseHead

PIECE_BYTES = 65536
"""Part of a long response that is written at once; each one written shows that the
caller reads."""

CHECK_INTERVAL_S = 0.5
"""Interval between checks for callers that read nothing."""


class MemoryGuard:
    """Refuses requests and disconnects callers if too much memory is held.

    Parameters
    ----------
    hub : Hub
        The budget, the log and the metrics.
    """

    def __init__(self, hub: Hub) -> None:
        self._hub = hub
        self._budget: MemoryBudget = hub.memory
        self._disconnects: dict[int, Callable[[], None]] = {}

    def guard(self, handler: Handler) -> Handler:
        """Return a handler that keeps within the budget, if there is a budget."""
        if not self._budget.limit_bytes:
            return handler

        async def guarded(request: ReceivedRequest, responder: Responder) -> None:
            refusal = self.refusal(len(request.body))
            if refusal is None:
                await self._handle(handler, request, responder)
                return
            headers, body = self._hub.dialects.callers.refusal(refusal)
            await responder.answer(refusal.status, headers, body)

        return guarded

    def refusal(self, body_bytes: int) -> Refusal | None:
        """Return the refusal of a request with such a body; None if it is accepted."""
        if not body_bytes or not self._hub.intake.must_refuse(body_bytes):
            return None
        self._hub.metrics.count("requests", "no_memory")
        self._hub.log.info(
            "request.no_memory",
            body_bytes=body_bytes,
            held_bytes=self._budget.held_bytes,
            limit_bytes=self._budget.limit_bytes,
        )
        return Refusal(503, "no_memory", RETRY_AFTER_S)

    async def _handle(
        self, handler: Handler, request: ReceivedRequest, responder: Responder
    ) -> None:
        with self.holding(HeldKind.BODIES, COPIES * len(request.body)):
            with anyio.CancelScope() as scope:
                watched = WatchedResponder(responder, self, scope)
                await handler(request, cast(Responder, watched))
        if scope.cancelled_caught:
            raise CallerDisconnectedError(
                "the caller read nothing while memory was scarce"
            )

    @contextmanager
    def holding(self, kind: HeldKind, size_bytes: int) -> Iterator[None]:
        """Count bytes as held within the context."""
        self._budget.hold(kind, size_bytes)
        try:
            yield
        finally:
            self._budget.hold(kind, -size_bytes)

    def begin_write(self, size_bytes: int, disconnect: Callable[[], None]) -> int:
        """Record bytes that a caller has yet to read; return the reader's number."""
        reader = self._budget.begin_write(size_bytes, anyio.current_time())
        self._disconnects[reader] = disconnect
        return reader

    def record_read(self, reader: int, size_bytes: int) -> None:
        """Record that a caller has read some of its bytes."""
        self._budget.record_read(reader, size_bytes, anyio.current_time())

    def end_write(self, reader: int) -> None:
        """Record that a caller has read everything or is gone."""
        del self._disconnects[reader]
        self._budget.end_write(reader)

    async def run(self) -> None:
        """Until cancelled, disconnect callers that read nothing."""
        while self._budget.limit_bytes:
            await anyio.sleep(CHECK_INTERVAL_S)
            readers = self._budget.silent_readers(anyio.current_time())
            if not readers:
                continue
            self._hub.metrics.count("silent_readers", "disconnected", len(readers))
            self._hub.log.info(
                "callers.read_nothing",
                callers=len(readers),
                held_bytes=self._budget.held_bytes,
                limit_bytes=self._budget.limit_bytes,
            )
            for reader in readers:
                self._disconnects[reader]()


class WatchedResponder:
    """Writes the response to one request, and tracks whether its caller reads it.

    Parameters
    ----------
    responder : Responder
        Writes the response, and awaits each write.
    guard : MemoryGuard
        Counts the bytes that are not read yet.
    scope : CancelScope
        Ends the request when its caller is disconnected.
    """

    def __init__(
        self, responder: Responder, guard: MemoryGuard, scope: anyio.CancelScope
    ) -> None:
        self._responder = responder
        self._guard = guard
        self._scope = scope

    @property
    def begun(self) -> bool:
        """Whether the response has begun."""
        return self._responder.begun

    @property
    def ended(self) -> bool:
        """Whether the response is complete."""
        return self._responder.ended

    async def start(self, head: ResponseHead) -> None:
        """See `Responder.start`."""
        await self._responder.start(head)

    async def flush(self) -> None:
        """See `Responder.flush`."""
        await self._responder.flush()

    async def send(self, data: bytes) -> None:
        """See `Responder.send`."""
        reader = self._guard.begin_write(len(data), self._scope.cancel)
        try:
            await self._send_pieces(reader, data)
        finally:
            self._guard.end_write(reader)

    async def end(self, data: bytes = b"") -> None:
        """See `Responder.end`."""
        reader = self._guard.begin_write(len(data), self._scope.cancel)
        try:
            last = max(0, len(data) - 1) // PIECE_BYTES * PIECE_BYTES
            await self._send_pieces(reader, data[:last])
            await self._responder.end(data[last:])
        finally:
            self._guard.end_write(reader)

    async def _send_pieces(self, reader: int, data: bytes) -> None:
        for begin in range(0, len(data), PIECE_BYTES):
            piece = data[begin : begin + PIECE_BYTES]
            await self._responder.send(piece)
            self._guard.record_read(reader, len(piece))

    async def answer(
        self, status: int, headers: Headers, body: bytes, close: bool = False
    ) -> None:
        """See `Responder.answer`."""
        await self._responder.answer(status, headers, body, close)
