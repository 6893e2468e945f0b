"""Moves the events of a stream from an endpoint to a caller."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import aclosing
from dataclasses import dataclass

DONE = b"data: [DONE]"
TAIL_BYTES = 64


@dataclass(slots=True, frozen=True)
class Pumped:
    """How a stream ended.

    Parameters
    ----------
    events : int
        Server-sent events passed on.
    whole : bool
        Whether the stream ended as a whole answer ends.
    """

    events: int
    whole: bool


async def pump(
    chunks: AsyncIterator[bytes], send_chunk: Callable[[bytes], Awaitable[None]]
) -> Pumped:
    """Pass on all chunks of a stream of server-sent events."""
    events, tail = 0, b""
    async with aclosing(chunks) as open_chunks:  # type: ignore[type-var]
        async for chunk in open_chunks:
            events += chunk.count(b"data: ")
            tail = (tail + chunk)[-TAIL_BYTES:]
            await send_chunk(chunk)
    return Pumped(events, DONE in tail)
