"""The callers' connections: answers requests, and sees when a caller leaves.

A web server library does not tell when a caller left while a call runs, nor lets an
answer that breaks off end without looking complete. So this speaks by httptools over
the event loop's transports.
"""

from collections.abc import Awaitable, Callable
from contextlib import closing, suppress
from dataclasses import dataclass, field

import anyio
from anyio.abc import SocketStream
from anyio.lowlevel import checkpoint

from knapweedbridge_core.serving import RequestLimits
from knapweedbridge_daemon.serving.byte_stream import ByteStream
from knapweedbridge_daemon.serving.clock import loop_time_s
from knapweedbridge_daemon.serving.http_heads import Framing
from knapweedbridge_daemon.serving.request_reading import (
    BadRequestError,
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
"""How long a closing connection is read on: closing it with unread bytes would reset
it, and the caller could lose an answer that was just written."""

FAULT_STATUS = 500
"""Answer to a request that met an error of ours: it may have run."""


class CallerDisconnectedError(Exception):
    """The caller's connection is gone."""


@dataclass(slots=True)
class Responder:
    """Writes the answer to one request."""

    _connection: "CallerConnection"
    begun: bool = False
    ended: bool = False
    is_written: bool = False
    _unsent: bytes = field(default=b"")

    async def start(self, head: ResponseHead) -> None:
        """Take the head; it is written with the first part of the body."""
        self.begun = True
        self._unsent = self._connection.pack_head(head)

    async def send(self, data: bytes) -> None:
        """Write a part of the body; waits until the kernel has all of it."""
        packed = self._connection.pack_data(data)
        if self._unsent:
            packed = self._unsent + packed
            self._unsent = b""
        await self._write(packed)

    async def end(self, data: bytes = b"") -> None:
        """Write the last part, and the end of the answer."""
        packed = self._unsent
        if data:
            packed += self._connection.pack_data(data)
        packed += self._connection.pack_end()
        self._unsent = b""
        # Told before the write: the caller may act on the answer at once.
        self.ended = True
        await self._write(packed)

    async def answer(
        self, status: int, headers: Headers, body: bytes, close: bool = False
    ) -> None:
        """Write a whole answer of ours."""
        all_headers = [*headers, (b"Content-Length", b"%d" % len(body))]
        if close:
            all_headers.append((b"Connection", b"close"))
        await self.start(ResponseHead(status, all_headers))
        await self.end(body)

    async def flush(self) -> None:
        """Write a head that has been taken and not written yet."""
        if self._unsent:
            packed, self._unsent = self._unsent, b""
            await self._write(packed)

    async def _write(self, packed: bytes) -> None:
        self.is_written = self.is_written or bool(packed)
        await self._connection.write(packed)


Handler = Callable[[ReceivedRequest, Responder], Awaitable[None]]


class CallerConnection:
    """One caller's connection, from its opening to its end."""

    def __init__(self, face: "HttpServer", stream: SocketStream) -> None:
        self._face = face
        self._stream = stream
        self._wire = ByteStream.from_anyio(stream)
        self._reader = RequestReader(self._wire)
        self._packer = ResponsePacker(b"", Framing())

    async def serve(self) -> None:
        """Answer requests until either side ends the connection."""
        while True:
            try:
                found = await self._read_request()
            except BadRequestError as error:
                await self._refuse(error)
                return
            if found is None:
                return
            request, framing = found
            self._packer = ResponsePacker(request.head.method, framing)
            if not await self._handle(request, framing) or not self._packer.keeps:
                await self._linger()
                return
            if self._reader.has_unread:
                # A caller that sends many requests at once leaves other tasks a turn.
                await checkpoint()

    def close(self) -> None:
        """Close the connection; an answer that broke off does not look complete."""
        if self._packer.is_cut and self._packer.ends_by_close:
            self._wire.reset()
        else:
            self._wire.close()

    def close_idle(self) -> None:
        """End the wait for a next request."""
        self._wire.end_reading()

    async def _read_request(self) -> tuple[ReceivedRequest, Framing] | None:
        limits = self._face.limits()
        self._packer = ResponsePacker(b"", Framing())
        if not self._reader.has_unread:
            self._face.idle.add(self)
            try:
                if not await self._reader.await_first(limits):
                    return None
            finally:
                self._face.idle.discard(self)
        return await self._reader.read(limits)

    async def _handle(self, request: ReceivedRequest, framing: Framing) -> bool:
        """Run the handler; False where the connection must end."""
        if self._wire.has_ended:
            return False
        responder = Responder(self)
        is_gone = False
        # What comes early is the next request; a caller that sends on without end
        # is not read further than one.
        with anyio.CancelScope() as scope:
            self._wire.on_end = scope.cancel
            try:
                await self._face.handler(request, responder)
            except CallerDisconnectedError:
                is_gone = True
            except Exception as error:
                self._face.count_internal_error(error)
                if not responder.is_written:
                    # What was packed of the answer that failed does not count.
                    self._packer = ResponsePacker(request.head.method, framing)
                    await self._answer_fault(responder)
            finally:
                self._wire.on_end = None
        return responder.ended and not (is_gone or self._wire.has_ended)

    @staticmethod
    async def _answer_fault(responder: Responder) -> None:
        """Answer a request that met an error of ours before any byte was written."""
        with suppress(CallerDisconnectedError):
            await responder.answer(FAULT_STATUS, [], b"", close=True)

    def pack_head(self, head: ResponseHead) -> bytes:
        """Encode the head of an answer."""
        return self._packer.head(head, self._face.closing)

    def pack_data(self, data: bytes) -> bytes:
        """Encode a part of a body."""
        return self._packer.data(data)

    def pack_end(self) -> bytes:
        """Encode the end of an answer."""
        return self._packer.end()

    async def write(self, packed: bytes) -> None:
        """Write encoded bytes; raises CallerDisconnectedError if nobody is there."""
        if not packed:
            return
        try:
            await self._wire.send(packed)
        except OSError as error:
            raise CallerDisconnectedError(repr(error)) from error

    async def _refuse(self, error: BadRequestError) -> None:
        self._face.count_bad_request(error)
        try:
            await Responder(self).answer(error.status, [], b"", close=True)
        except CallerDisconnectedError:
            return
        await self._linger()

    async def _linger(self) -> None:
        if self._packer.is_cut:
            # Broken off midway: the end must not look like one.
            return
        self._wire.send_eof()
        due_s = loop_time_s() + LINGER_S
        with suppress(ConnectionError, TimeoutError):
            while await self._wire.receive_by(due_s):
                pass


class HttpServer:
    """Accepts callers' connections and hands their requests to a handler.

    Parameters
    ----------
    handler : callable
        Answers one request.
    limits : callable
        Returns the bounds in force.
    count_bad_request : callable
        Takes each request that could not be read.
    count_internal_error : callable
        Takes each error of the daemon's own code.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], RequestLimits],
        count_bad_request: Callable[[BadRequestError], None],
        count_internal_error: Callable[[Exception], None],
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.count_bad_request = count_bad_request
        self.count_internal_error = count_internal_error
        self.closing = False
        self.open_connections = 0
        self.idle: set[CallerConnection] = set()

    def close_idle(self) -> None:
        """Close the connections on which no request is under way."""
        for connection in list(self.idle):
            connection.close_idle()

    async def serve(self, stream: SocketStream) -> None:
        """Serve one connection to its end."""
        self.open_connections += 1
        try:
            connection = CallerConnection(self, stream)
            with closing(connection):
                await connection.serve()
        except Exception as error:
            # An error outside any request costs this caller its connection only.
            self.count_internal_error(error)
        finally:
            self.open_connections -= 1
