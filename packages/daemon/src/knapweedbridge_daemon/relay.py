"""Moves the events of a stream from an endpoint to a caller."""

import json
import math
from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack

import anyio

from knapweedbridge_daemon.sse import Block, BrokenEventsError, EventReader

EVENT_END = b"\n\n"
EVENT_START = b"data: "
# JSON escapes the quotes within a text, so no text holds this.
ERROR_START = b'data: {"error"'


class SilenceError(Exception):
    """Nothing came over a connection for longer than its bound."""


class WrongModelError(Exception):
    """The stream names another model than the one that was asked."""


class Relay:
    """Passes on whole events only, and counts them as they are delivered.

    A break in the middle of an event leaves nothing of it with the caller, so
    the count is the offset at which the stream can be resumed.

    Parameters
    ----------
    model : str
        What the stream must say it runs on; empty: not checked.
    send_chunk : callable
        Takes bytes for the caller.
    join_wait_s : float
        Longest wait after a write, in seconds, so that tokens which come faster
        than that share the next one. The first token never waits.
    """

    def __init__(
        self,
        model: str,
        send_chunk: Callable[[bytes], Awaitable[None]],
        join_wait_s: float = 0.0,
    ) -> None:
        self._model = model
        self._send_chunk = send_chunk
        self._join_wait_s = join_wait_s
        self._written_s = -math.inf
        self.events = 0
        self.whole = False

    async def pump(
        self,
        chunks: AsyncIterator[bytes],
        first_s: float = math.inf,
        gap_s: float = math.inf,
    ) -> None:
        """Pass on the events of one connection, until it or the answer ends.

        Parameters
        ----------
        chunks : async iterator of bytes
            What the endpoint sends; it is closed at the end.
        first_s, gap_s : float
            Longest silence before the first chunk, and after it, in seconds.

        Raises
        ------
        SilenceError
            When a bound on silence is passed.
        WrongModelError
            Before the first event of an answer by another model is passed on.
        BrokenEventsError
            If what comes is no stream of events.
        """
        with anyio.CancelScope(deadline=anyio.current_time() + first_s) as silence:
            async with AsyncExitStack() as stack:
                if isinstance(chunks, AsyncGenerator):
                    stack.push_async_callback(chunks.aclose)
                await self._pump(chunks, gap_s, silence)
        if silence.cancel_called:
            raise SilenceError(f"silent for {first_s:g} s or {gap_s:g} s")

    async def _pump(
        self, chunks: AsyncIterator[bytes], gap_s: float, silence: anyio.CancelScope
    ) -> None:
        reader = EventReader()
        async for chunk in chunks:
            # Passing on under a cancelled scope could stop between a write and
            # its count; what is not passed on is asked for again on a resume.
            if silence.cancel_called:
                return
            # A caller that reads slowly is no silence of the endpoint.
            silence.deadline = math.inf
            block = reader.feed(chunk)
            if block.data:
                await self._pass_on(block)
            if self.whole:
                return
            now_s = anyio.current_time()
            if self._join_wait_s:
                now_s = await self._join(now_s)
            silence.deadline = now_s + gap_s

    async def _join(self, now_s: float) -> float:
        # Where tokens come slower than the wait there is nothing to join, and
        # the timer would be spent for nothing.
        fast = now_s - self._written_s < self._join_wait_s
        if fast:
            await anyio.sleep(self._join_wait_s)
            now_s += self._join_wait_s
        self._written_s = now_s
        return now_s

    async def _pass_on(self, block: Block) -> None:
        failed = block.data.find(ERROR_START)
        if failed >= 0:
            block = EventReader().feed(block.data[:failed])
        if block.data:
            await self._send_block(block)
        if failed >= 0:
            # The endpoint's own word that it failed is not the caller's last:
            # the stream may be resumed, or the attempt repeated.
            raise BrokenEventsError("the endpoint reported an error")

    async def _send_block(self, block: Block) -> None:
        if self.events == 0:
            self._check_model(block.data)
        self.whole = block.done
        await self._send_chunk(block.data)
        self.events += block.events

    def _check_model(self, block: bytes) -> None:
        first = block.partition(EVENT_END)[0]
        if first.startswith(EVENT_START):
            check_model(first[len(EVENT_START) :], self._model)


def check_model(body: bytes, model: str) -> None:
    """Check the model that a JSON object claims to have run on.

    Raises
    ------
    WrongModelError
        If it claims another than ``model``; an empty one is not checked.
    """
    try:
        claimed = json.loads(body).get("model")
    except (ValueError, AttributeError):
        return
    if model and claimed is not None and claimed != model:
        raise WrongModelError(claimed)
