"""HTTP/1.1 server that detects when a caller disconnects during a request.

Web server libraries neither report that a caller disconnected while its request runs
nor let a truncated response end without looking complete. This server therefore uses
httptools directly on the transports of the event loop.
"""

import itertools
from collections.abc import Awaitable, Callable
from contextlib import closing, suppress
from dataclasses import dataclass, field

import anyio
from anyio.abc import SocketStream
from anyio.lowlevel import checkpoint

from knapweedbridge_core.connection_limit import ConnectionLimit, ConnectionState
from knapweedbridge_core.serving import RequestLimits
from knapweedbridge_daemon.serving.body_reception import BodyReception
from knapweedbridge_daemon.serving.byte_stream import ByteStream
from knapweedbridge_daemon.serving.clock import loop_time_s
from knapweedbridge_daemon.serving.http_heads import Framing
from knapweedbridge_daemon.serving.request_reading import (
    BadRequestError,
    NoConnectionError,
    ReceivedRequest,
    RequestReader,
)
from knapweedbridge_daemon.serving.response_writing import ResponsePacker
from knapweedbridge_daemon.serving.wire import Headers, ResponseHead

__all__ = [
    "BadRequestError",
    "CallerConnection",
    "CallerDisconnectedError",
    "HttpServer",
    "ReceivedRequest",
    "Responder",
]

LINGER_S = 0.3
"""How long a closing connection is still read. Closing it with unread bytes would
reset it, and the caller could lose a response that was just written."""

LINGER_BYTES = 131_072
"""Most bytes that are read from a closing connection. What comes after them is left
unread, so that a caller that goes on sending costs no more."""

MOST_UNREAD_BYTES = 16384
"""Unread bytes of a caller beyond which reading from its connection is paused."""

INTERNAL_ERROR_STATUS = 500
"""Status of the response after an internal error; the request may have run."""


class CallerDisconnectedError(Exception):
    """Raised when the caller's connection is closed."""


@dataclass(slots=True)
class Responder:
    """Writes the response to one request.

    Attributes
    ----------
    begun, ended : bool
        Whether a response was started and whether its last part was passed on.
    is_written : bool
        Whether bytes of a response were passed to the connection.
    """

    _connection: "CallerConnection"
    begun: bool = False
    ended: bool = False
    is_written: bool = False
    _unsent: bytes = field(default=b"")

    async def start(self, head: ResponseHead) -> None:
        """Start a response; its head is written with the first part of the body."""
        self.begun = True
        self._unsent = self._connection.pack_head(head)

    async def send(self, data: bytes) -> None:
        """Write a part of the body and wait until the kernel has accepted it."""
        packed = self._connection.pack_data(data)
        if self._unsent:
            packed = self._unsent + packed
            self._unsent = b""
        await self._write(packed)

    async def end(self, data: bytes = b"") -> None:
        """Write the last part of the body and the end of the response."""
        packed = self._unsent
        if data:
            packed += self._connection.pack_data(data)
        packed += self._connection.pack_end()
        self._unsent = b""
        # Set before the write, as the caller may act on the response at once.
        self.ended = True
        await self._write(packed)

    async def answer(
        self, status: int, headers: Headers, body: bytes, close: bool = False
    ) -> None:
        """Write a complete response."""
        all_headers = [*headers, (b"Content-Length", b"%d" % len(body))]
        if close:
            all_headers.append((b"Connection", b"close"))
        await self.start(ResponseHead(status, all_headers))
        await self.end(body)

    async def flush(self) -> None:
        """Write a head that is still buffered."""
        if self._unsent:
            packed, self._unsent = self._unsent, b""
            await self._write(packed)

    async def _write(self, packed: bytes) -> None:
        self.is_written = self.is_written or bool(packed)
        await self._connection.write(packed)


Handler = Callable[[ReceivedRequest, Responder], Awaitable[None]]


def pack_empty_refusal(error: BadRequestError) -> tuple[Headers, bytes]:
    """Return no headers and no body for a refusal."""
    return [], b""


class CallerConnection:
    """Connection of one caller.

    Parameters
    ----------
    server : HttpServer
        Server that accepted the connection.
    stream : SocketStream
        Accepted connection.
    """

    def __init__(self, server: "HttpServer", stream: SocketStream) -> None:
        self._server = server
        self._stream = stream
        self._wire = ByteStream.from_anyio(stream, MOST_UNREAD_BYTES)
        self._wire.on_block = self._record_block
        self._reader = RequestReader(self._wire, server.reception)
        self._packer = ResponsePacker(b"", Framing())
        self._state = ConnectionState.IDLE
        self.number = next(server.numbers)

    async def serve(self) -> None:
        """Serve requests until either side closes the connection."""
        while True:
            try:
                found = await self._read_request()
            except BadRequestError as error:
                await self._refuse(error)
                return
            if found is None:
                return
            request, framing = found
            self._enter(ConnectionState.SERVING)
            self._packer = ResponsePacker(request.head.method, framing)
            if not await self._handle(request, framing) or not self._packer.keeps:
                await self._linger()
                return
            if self._reader.has_unread:
                # Yields to other tasks between pipelined requests.
                self._enter(ConnectionState.RECEIVING)
                await checkpoint()

    def close(self) -> None:
        """Close the connection.

        It is reset if a truncated response would otherwise look complete.
        """
        if self._packer.is_cut and self._packer.ends_by_close:
            self._wire.reset()
        else:
            self._wire.close()

    def close_idle(self) -> None:
        """Stop waiting for the next request."""
        self._wire.end_reading()

    async def _read_request(self) -> tuple[ReceivedRequest, Framing] | None:
        limits = self._server.limits()
        self._packer = ResponsePacker(b"", Framing())
        if not self._reader.has_unread:
            self._enter(ConnectionState.IDLE)
            self._server.idle.add(self)
            try:
                if not await self._reader.await_request(limits):
                    return None
            finally:
                self._server.idle.discard(self)
        self._enter(ConnectionState.RECEIVING)
        return await self._reader.read(limits)

    def _enter(self, state: ConnectionState) -> None:
        self._state = state
        self._server.connections.enter(self.number, state, loop_time_s())

    def _record_block(self, is_blocked: bool) -> None:
        state = ConnectionState.BLOCKED if is_blocked else self._state
        self._server.connections.enter(self.number, state, loop_time_s())

    def evict(self) -> None:
        """Close the connection, as it gives way to a new one."""
        self._wire.close()

    async def _handle(self, request: ReceivedRequest, framing: Framing) -> bool:
        """Run the handler; return False if the connection must be closed."""
        if self._wire.has_ended:
            return False
        responder = Responder(self)
        is_disconnected = False
        # Bytes that arrive early belong to the next request; no more than one read
        # buffer of them is taken from a caller that keeps sending.
        with anyio.CancelScope() as scope:
            self._wire.on_end = scope.cancel
            try:
                await self._server.handler(request, responder)
            except CallerDisconnectedError:
                is_disconnected = True
            except Exception as error:
                self._server.count_internal_error(error)
                if not responder.is_written:
                    # Discards what was encoded of the failed response.
                    self._packer = ResponsePacker(request.head.method, framing)
                    await self._send_internal_error(responder)
            finally:
                self._wire.on_end = None
        return responder.ended and not (is_disconnected or self._wire.has_ended)

    @staticmethod
    async def _send_internal_error(responder: Responder) -> None:
        """Report an internal error that occurred before any byte was written."""
        with suppress(CallerDisconnectedError):
            await responder.answer(INTERNAL_ERROR_STATUS, [], b"", close=True)

    def pack_head(self, head: ResponseHead) -> bytes:
        """Encode the head of a response."""
        return self._packer.head(head, self._server.closing)

    def pack_data(self, data: bytes) -> bytes:
        """Encode a part of the body."""
        return self._packer.data(data)

    def pack_end(self) -> bytes:
        """Encode the end of a response."""
        return self._packer.end()

    async def write(self, packed: bytes) -> None:
        """Write encoded bytes.

        Raises
        ------
        CallerDisconnectedError
            If the connection is closed.
        """
        if not packed:
            return
        try:
            await self._wire.send(packed)
        except OSError as error:
            raise CallerDisconnectedError(repr(error)) from error

    async def refuse_connection(self) -> None:
        """Refuse the first request, which is not read."""
        await self._refuse(NoConnectionError("no room for one more connection"))

    async def _refuse(self, error: BadRequestError) -> None:
        self._server.count_bad_request(error)
        headers, body = self._server.pack_refusal(error)
        try:
            await Responder(self).answer(error.status, headers, body, close=True)
        except CallerDisconnectedError:
            return
        await self._linger()

    async def _linger(self) -> None:
        if self._packer.is_cut:
            # The response is truncated, and its end must not look orderly.
            return
        self._wire.send_eof()
        deadline_s = loop_time_s() + LINGER_S
        left_bytes = LINGER_BYTES
        with suppress(ConnectionError, TimeoutError):
            while left_bytes > 0:
                received = await self._wire.receive_by(deadline_s)
                if not received:
                    return
                left_bytes -= len(received)
            self._wire.pause_reading()
            await anyio.sleep_until(deadline_s)


class HttpServer:
    """Serves callers' connections and passes their requests to a handler.

    Parameters
    ----------
    handler : callable
        Responds to one request.
    limits : callable
        Returns the limits that currently apply to requests.
    count_bad_request : callable
        Called with the error of each request that could not be read.
    count_internal_error : callable
        Called with each error raised by the daemon's own code.
    reception : BodyReception, optional
        Counts the bodies that are being received; by default without a limit.
    connections : ConnectionLimit, optional
        Limits the open connections; by default there is no limit.
    pack_refusal : callable, optional
        Returns headers and body of the response to a request that could not be read.

    Attributes
    ----------
    closing : bool
        Whether connections are closed after their next response.
    connections : ConnectionLimit
        The open connections by state.
    idle : set of CallerConnection
        Connections without a request in progress.
    numbers : iterator of int
        Numbers for connections.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], RequestLimits],
        count_bad_request: Callable[[BadRequestError], None],
        count_internal_error: Callable[[Exception], None],
        reception: BodyReception | None = None,
        connections: ConnectionLimit | None = None,
        pack_refusal: Callable[
            [BadRequestError], tuple[Headers, bytes]
        ] = pack_empty_refusal,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.count_bad_request = count_bad_request
        self.count_internal_error = count_internal_error
        self.reception = BodyReception() if reception is None else reception
        self.connections = ConnectionLimit() if connections is None else connections
        self.pack_refusal = pack_refusal
        self.closing = False
        self.idle: set[CallerConnection] = set()
        self.numbers = itertools.count(1)
        self._open: dict[int, CallerConnection] = {}

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self.connections)

    def close_idle(self) -> None:
        """Close the connections that have no request in progress."""
        for connection in list(self.idle):
            connection.close_idle()

    async def serve(self, stream: SocketStream) -> None:
        """Serve one connection until it is closed.

        If there is no room for it, another one is closed, or it is refused.
        """
        try:
            connection = CallerConnection(self, stream)
            has_room = self._make_room()
            self._open[connection.number] = connection
            self.connections.add(connection.number, loop_time_s())
            try:
                with closing(connection):
                    if has_room:
                        await connection.serve()
                    elif self.connections.may_refuse:
                        await connection.refuse_connection()
            finally:
                del self._open[connection.number]
                self.connections.remove(connection.number)
        except Exception as error:
            # An error outside any request only closes this caller's connection.
            self.count_internal_error(error)

    def _make_room(self) -> bool:
        """Return whether one more connection may be served, evicting another one."""
        if not self.connections.is_full:
            return True
        return self.evict_one()

    def evict_one(self) -> bool:
        """Close the connection that gives way to a new one, if there is one."""
        number = self.connections.choose(loop_time_s())
        if number is None:
            return False
        self._open[number].evict()
        return True
