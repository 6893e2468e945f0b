"""Receives the bodies of calls at our own interfaces, within the memory for them."""

from collections.abc import Iterator
from contextlib import contextmanager

import anyio
from starlette.requests import Request

from knapweedbridge_core.serving import (
    BodyIntake,
    DecodeTurns,
    HeldKind,
    IncompleteBody,
    MemoryBudget,
)
from knapweedbridge_core.serving.body_intake import COPIES
from knapweedbridge_daemon.errors import DaemonError

TINY_PIECE_BYTES = 256
FREE_PIECES = 512
"""Bodies in pieces that are smaller on average take turns after so many pieces."""


class BodyTooLargeError(DaemonError):
    """Raised for a body over the limit of its call."""


class BodyRefusedError(DaemonError):
    """Raised for a body that cannot be received now, as too much is held."""


class BodyReader:
    """Receives bodies within one budget.

    Parameters
    ----------
    budget : MemoryBudget, optional
        Memory for callers and operators; by default there is no limit.
    """

    def __init__(self, budget: MemoryBudget | None = None) -> None:
        self._budget = MemoryBudget() if budget is None else budget
        self._intake = BodyIntake(self._budget)
        self._turns = DecodeTurns()

    async def read(self, request: Request, max_bytes: int) -> bytes:
        """Receive a body.

        Raises
        ------
        BodyTooLargeError
            If it is longer than ``max_bytes``. As much again of it is received and
            discarded, so that its client can read the response.
        BodyRefusedError
            If it cannot be held, or had to give way to others.
        """
        announced = request.headers.get("content-length", "")
        announced_bytes = int(announced) if announced.isdecimal() else 0
        if announced_bytes > max_bytes:
            await self._discard(request, max_bytes)
            raise BodyTooLargeError(f"the body is over {max_bytes} bytes")
        if announced_bytes and self._intake.must_refuse(announced_bytes):
            raise BodyRefusedError("no memory for the body")
        sender = request.client.host if request.client else ""
        with anyio.CancelScope() as scope:
            body = self._intake.begin(sender, scope.cancel, anyio.current_time())
            try:
                return await self._receive(request, body, max_bytes)
            finally:
                self._intake.end(body)
                self._turns.leave(body)
        raise BodyRefusedError("the body gave way to others")

    async def _receive(
        self, request: Request, body: IncompleteBody, max_bytes: int
    ) -> bytes:
        received = bytearray()
        pieces = 0
        async for piece in request.stream():
            pieces += 1
            if len(received) + len(piece) > max_bytes:
                received.clear()
                self._intake.end(body)
                await self._discard(request, max_bytes)
                raise BodyTooLargeError(f"the body is over {max_bytes} bytes")
            if not self._intake.grow(body, len(piece), anyio.current_time()):
                raise BodyRefusedError("no memory for the body")
            received += piece
            is_tiny = len(received) < TINY_PIECE_BYTES * pieces
            if is_tiny and pieces > FREE_PIECES and not self._turns.enter(body):
                raise BodyRefusedError("too many bodies of tiny chunks")
        return bytes(received)

    @contextmanager
    def holding(self, body: bytes) -> Iterator[None]:
        """Count a complete body while its call is served.

        Raises
        ------
        BodyRefusedError
            If it cannot be held.
        """
        if body and self._intake.must_refuse(len(body)):
            raise BodyRefusedError("no memory for the body")
        self._budget.hold(HeldKind.BODIES, COPIES * len(body))
        try:
            yield
        finally:
            self._budget.hold(HeldKind.BODIES, -COPIES * len(body))

    @staticmethod
    async def _discard(request: Request, most_bytes: int) -> None:
        left_bytes = most_bytes
        while left_bytes > 0:
            message = await request.receive()
            left_bytes -= len(message.get("body", b""))
            if not message.get("more_body", False):
                return
