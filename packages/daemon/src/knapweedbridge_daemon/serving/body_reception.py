"""Bodies that are being received, over all connections of a server."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import anyio
from anyio.lowlevel import checkpoint

from knapweedbridge_core.serving import (
    BodyIntake,
    DecodeTurns,
    IncompleteBody,
    MemoryBudget,
)
from knapweedbridge_daemon.serving.clock import loop_time_s

__all__ = ["BodyReception", "ReceivedBody"]


class ReceivedBody:
    """Counts the received bytes of one body.

    Parameters
    ----------
    intake : BodyIntake
        Decides whether more of the body may be received.
    body : IncompleteBody
        The body.
    """

    __slots__ = ("_body", "_intake", "_lock", "_turns")

    def __init__(
        self,
        intake: BodyIntake,
        body: IncompleteBody,
        turns: DecodeTurns,
        lock: anyio.Lock,
    ) -> None:
        self._intake = intake
        self._body = body
        self._turns = turns
        self._lock = lock

    def grow(self, size_bytes: int) -> bool:
        """Count received bytes; return False if the body is refused."""
        return self._intake.grow(self._body, size_bytes, loop_time_s())

    async def await_turn(self) -> bool:
        """Wait for the next step of the decoder; return False if there is none.

        One step is made in each iteration of the event loop, however many bodies
        consist of tiny chunks, so that all other tasks go on.
        """
        if not self._turns.enter(self._body):
            return False
        async with self._lock:
            await checkpoint()
        return True


class BodyReception:
    """Counts bodies as they are received, and lets their decoders take turns.

    Parameters
    ----------
    intake : BodyIntake, optional
        Decides which bodies are refused; by default there is no limit.
    """

    def __init__(self, intake: BodyIntake | None = None) -> None:
        self._intake = BodyIntake(MemoryBudget()) if intake is None else intake
        self._turns = DecodeTurns()
        self._lock = anyio.Lock()

    def must_refuse(self, body_bytes: int) -> bool:
        """Return whether a body of this size cannot be served now."""
        return self._intake.must_refuse(body_bytes)

    @contextmanager
    def body(self, sender: str, evict: Callable[[], None]) -> Iterator[ReceivedBody]:
        """Count a body while it is received.

        Parameters
        ----------
        sender : str
            Network address of the sender.
        evict : callable
            Called when the body must give way to others.
        """
        body = self._intake.begin(sender, evict, loop_time_s())
        try:
            yield ReceivedBody(self._intake, body, self._turns, self._lock)
        finally:
            self._intake.end(body)
            self._turns.leave(body)
