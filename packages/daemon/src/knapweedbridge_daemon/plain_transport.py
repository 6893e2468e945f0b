"""The HTTP library's own transport, and how its connections are made and kept."""

import ssl
from dataclasses import dataclass

import httpx

SocketOption = tuple[int, int, int]


@dataclass(slots=True, frozen=True)
class PoolOptions:
    """How connections are made and kept.

    Parameters
    ----------
    max_connections : int
        Connections open at once.
    kept : int
        Idle connections kept for reuse; 0: each request gets a new one.
    idle_s : float
        Idle life of a kept connection, in seconds.
    tls : ssl.SSLContext
        Used towards endpoints that speak TLS.
    socket_options : tuple of (level, option, value)
        Set on each socket.
    """

    max_connections: int
    kept: int
    idle_s: float
    tls: ssl.SSLContext
    socket_options: tuple[SocketOption, ...] = ()


class GuardedTransport(httpx.AsyncHTTPTransport):
    """The HTTP library's own transport, whose every failure is an HTTPError.

    The far side may close a connection in the moment it is made: uvloop then has
    no socket left to show, and the library's question for it ends in
    AttributeError, which would end the task and with it the daemon. Whether
    anything was written is not known here, so it is told as a read that failed.
    """

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send one request."""
        try:
            return await super().handle_async_request(request)
        except AttributeError as error:
            raise httpx.ReadError(str(error), request=request) from error


def make_plain_transport(options: PoolOptions) -> httpx.AsyncHTTPTransport:
    """Return the transport of a client that keeps connections."""
    return GuardedTransport(
        verify=options.tls,
        trust_env=False,
        limits=httpx.Limits(
            max_connections=options.max_connections,
            max_keepalive_connections=options.kept,
            keepalive_expiry=options.idle_s,
        ),
        socket_options=options.socket_options,
    )
