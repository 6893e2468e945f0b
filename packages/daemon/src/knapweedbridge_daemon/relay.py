"""Moves the events of a stream from an endpoint to a caller."""

import json
from collections.abc import AsyncIterator, Awaitable, Callable

import anyio

DONE = b"data: [DONE]"
EVENT_END = b"\n\n"
EVENT_START = b"data: "


class SilenceError(Exception):
    """Nothing came over a connection for longer than its bound."""


class WrongModelError(Exception):
    """The stream names another model than the one that was asked."""


async def bounded(
    chunks: AsyncIterator[bytes], first_s: float, gap_s: float
) -> AsyncIterator[bytes]:
    """Yield chunks, with a bound before the first and one between two.

    Parameters
    ----------
    first_s, gap_s : float
        Longest silence before the first chunk, and after it, in seconds.

    Raises
    ------
    SilenceError
        When a bound is passed.
    """
    bound_s = first_s
    iterator = aiter(chunks)
    while True:
        try:
            with anyio.fail_after(bound_s):
                chunk = await anext(iterator)
        except StopAsyncIteration:
            return
        except TimeoutError as error:
            raise SilenceError(f"silent for {bound_s} s") from error
        yield chunk
        bound_s = gap_s


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
    """

    def __init__(
        self, model: str, send_chunk: Callable[[bytes], Awaitable[None]]
    ) -> None:
        self._model = model
        self._send_chunk = send_chunk
        self.events = 0
        self.whole = False

    async def pump(self, chunks: AsyncIterator[bytes]) -> None:
        """Pass on the events of one connection, until it or the answer ends.

        Raises
        ------
        WrongModelError
            Before the first event of an answer by another model is passed on.
        """
        rest = b""
        async for chunk in chunks:
            whole, end, rest = (rest + chunk).rpartition(EVENT_END)
            if end:
                await self._pass_on(whole + end)
            if self.whole:
                return

    async def _pass_on(self, block: bytes) -> None:
        if self.events == 0:
            self._check_model(block)
        # JSON holds no raw line end, so these are the events' own.
        framed = EVENT_END + block
        self.whole = EVENT_END + DONE in framed
        await self._send_chunk(block)
        self.events += framed.count(EVENT_END + EVENT_START) - self.whole

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
