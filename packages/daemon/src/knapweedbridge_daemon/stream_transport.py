"""The client's transport: requests that stream go over a parser in C."""

import socket
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager
from types import SimpleNamespace
from typing import Any

import aiohttp
import anyio.lowlevel
import httpx
from yarl import URL

from knapweedbridge_daemon.plain_transport import PoolOptions, make_plain_transport

STREAMING_METHOD = "POST"
LEAST_STATUS = 200
"""Lowest status of a final response."""

TURNS_TO_HEAR = 2
WRITING_EVENT = "http11.send_request_headers.started"
AUTOMATIC_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")


class StreamTransport(httpx.AsyncBaseTransport):
    """Sends POST over aiohttp, and all else over the library's own transport.

    The answers that stream are answers to POST, and their cost is that of each
    chunk: here one read returns all that is buffered, cut out of its framing in
    C. aiohttp sends a request of an idempotent method again by itself when a
    kept connection broke, which a service may not allow; it never does so with
    POST, and other methods don't come here.

    Parameters
    ----------
    options : PoolOptions
        How connections are made and kept.
    """

    def __init__(self, options: PoolOptions) -> None:
        self._options = options
        self._session: aiohttp.ClientSession | None = None
        self._other = make_plain_transport(options)

    async def aclose(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
        await self._other.aclose()

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send one request; the response's body is read from its stream."""
        if request.method != STREAMING_METHOD:
            return await self._other.handle_async_request(request)
        if self._session is None:
            self._session = self._open()
        await _hear_of_closed_connections()
        with _library_errors():
            response = await self._session.request(
                request.method,
                URL(str(request.url), encoded=True),
                headers=request.headers.multi_items(),
                data=await request.aread(),
                skip_auto_headers=AUTOMATIC_HEADERS,
                allow_redirects=False,
                timeout=_timeout(request),
                trace_request_ctx=request.extensions.get("trace"),
            )
        if response.status < LEAST_STATUS:
            # aiohttp accepts any three digits, and ends an exchange with a 101.
            response.close()
            raise httpx.RemoteProtocolError(f"status {response.status:03}")
        return httpx.Response(
            response.status,
            headers=list(response.raw_headers),
            stream=_Body(response),
            extensions={"http_version": b"HTTP/1.1"},
        )

    def _open(self) -> aiohttp.ClientSession:
        options = self._options
        lifetime: dict[str, Any] = {"keepalive_timeout": options.idle_s}
        if not options.kept:
            lifetime = {"force_close": True}
        connector = aiohttp.TCPConnector(
            limit=options.max_connections,
            ssl=options.tls,
            socket_factory=self._make_socket,
            **lifetime,
        )
        return aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            trace_configs=[_tracing()],
        )

    def _make_socket(self, info: Any) -> socket.socket:
        family, kind, protocol = info[:3]
        made = socket.socket(family, kind, protocol)
        for level, option, value in self._options.socket_options:
            made.setsockopt(level, option, value)
        return made


class _Body(httpx.AsyncByteStream):
    """The body of one response, each read returning all that is buffered."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self._response = response

    async def __aiter__(self) -> AsyncIterator[bytes]:
        read = self._response.content.readany
        with _library_errors():
            while chunk := await read():
                yield chunk

    async def aclose(self) -> None:
        # A connection whose answer was read to its end is back in the pool by
        # now; this closes one whose answer was not.
        self._response.close()


async def _hear_of_closed_connections() -> None:
    # A kept connection that the far side closed counts as open until the loop
    # has read its end. A request written to it would end as "may have run"
    # though nothing ran. The first turn polls, the second runs what it found.
    for _ in range(TURNS_TO_HEAR):
        await anyio.lowlevel.checkpoint()


def _timeout(request: httpx.Request) -> aiohttp.ClientTimeout:
    bounds = request.extensions.get("timeout", {})
    return aiohttp.ClientTimeout(
        total=None,
        connect=bounds.get("pool"),
        sock_connect=bounds.get("connect"),
        sock_read=bounds.get("read"),
    )


def _tracing() -> aiohttp.TraceConfig:
    # Told before the first byte of the request is written: what fails without
    # it was not run.
    config = aiohttp.TraceConfig()
    config.on_connection_create_end.append(_tell_writing)
    config.on_connection_reuseconn.append(_tell_writing)
    return config


async def _tell_writing(
    session: aiohttp.ClientSession, context: SimpleNamespace, parameters: Any
) -> None:
    trace = context.trace_request_ctx
    if trace is not None:
        await trace(WRITING_EVENT, {})


@contextmanager
def _library_errors() -> Iterator[None]:
    """Turn aiohttp's errors into those of httpx.

    Only what failed before a connection stood becomes a connect error.
    """
    try:
        yield
    except aiohttp.ConnectionTimeoutError as error:
        raise httpx.ConnectTimeout(str(error)) from error
    except aiohttp.ClientConnectorError as error:
        raise httpx.ConnectError(str(error)) from error
    except (TimeoutError, aiohttp.ServerTimeoutError) as error:
        raise httpx.ReadTimeout(str(error)) from error
    except aiohttp.ClientResponseError as error:
        raise httpx.RemoteProtocolError(str(error)) from error
    except (aiohttp.ClientError, OSError) as error:
        raise httpx.ReadError(str(error)) from error
