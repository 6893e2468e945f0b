"""The transports under the client that speaks to endpoints."""

import httpx

from knapweedbridge_daemon.plain_transport import PoolOptions, make_plain_transport


def make_transport(
    options: PoolOptions, stream_client: str
) -> httpx.AsyncBaseTransport:
    """Return the transport that a setting names, ``aiohttp`` or ``httpx``."""
    if stream_client == "httpx":
        return make_plain_transport(options)
    # Imported here: it costs memory that the other way does not need.
    from knapweedbridge_daemon.stream_transport import StreamTransport

    return StreamTransport(options)
