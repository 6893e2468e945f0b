"""Gathers complete responses within the memory for callers."""

from collections.abc import AsyncIterator

import anyio

from knapweedbridge_core.serving import BodyIntake
from knapweedbridge_daemon.serving.clock import loop_time_s
from knapweedbridge_daemon.serving.http_client import ConnectionBrokenError

MAX_RESPONSE_BYTES = 8 << 20
"""Longest response that is gathered until complete; plain ones have some kB."""


class NoMemoryError(ConnectionBrokenError):
    """A response was given up for lack of memory, which is no fault of its endpoint."""


async def gather_response(
    intake: BodyIntake, endpoint: str, parts: AsyncIterator[bytes]
) -> bytes:
    """Return a complete body, which counts as held while it is received.

    If memory is exhausted, the responses of the endpoint that sends most give way.

    Raises
    ------
    ConnectionBrokenError
        If the body is too long.
    NoMemoryError
        If it had to give way to others.
    """
    gathered = bytearray()
    with anyio.CancelScope() as scope:
        body = intake.begin(endpoint, scope.cancel, loop_time_s(), is_response=True)
        try:
            async for part in parts:
                if len(gathered) + len(part) > MAX_RESPONSE_BYTES:
                    raise ConnectionBrokenError(
                        f"the response is longer than {MAX_RESPONSE_BYTES} bytes"
                    )
                if not intake.grow(body, len(part), loop_time_s()):
                    break
                gathered += part
        finally:
            intake.end(body)
    if body.is_evicted:
        raise NoMemoryError(f"no memory for more than {len(gathered)} bytes")
    return bytes(gathered)
