"""The callers' connections: reads whole requests, and sees when a caller leaves.

A web server library does not tell when a caller left while a call runs, nor lets an
answer that breaks off end without looking complete. So this speaks by h11.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
import h11
from anyio.abc import SocketStream, TaskGroup

from knapweedbridge_core.serving import FaceLimits
from knapweedbridge_daemon.serving.http_client import (
    STREAM_ERRORS,
    set_socket_options,
)
from knapweedbridge_daemon.serving.wire import Headers, RequestHead, ResponseHead

CHUNK_BYTES = 65536
LINGER_S = 0.3
"""How long a closing connection is read on: closing it with unread bytes would reset
it, and the caller could lose an answer that was just written."""


class BadRequestError(Exception):
    """A request that cannot be read; it is answered and its connection closed.

    Parameters
    ----------
    status : int
        HTTP status of the answer.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class CallerGoneError(Exception):
    """The caller's connection is gone."""


@dataclass(slots=True, frozen=True)
class ReceivedRequest:
    """A request, whole.

    Parameters
    ----------
    head : RequestHead
        Its first part.
    body : bytes
        Its body.
    received_s : float
        When its head was read, on the daemon's clock.
    """

    head: RequestHead
    body: bytes
    received_s: float


@dataclass(slots=True)
class Responder:
    """Writes the answer to one request."""

    _connection: "CallerConnection"
    begun: bool = False
    ended: bool = False
    _unsent: bytes = field(default=b"")

    async def start(self, head: ResponseHead) -> None:
        """Take the head; it is written with the first part of the body."""
        self.begun = True
        self._unsent = self._connection.pack_head(head)

    async def send(self, data: bytes) -> None:
        """Write a part of the body."""
        packed = self._unsent + self._connection.pack_data(data)
        self._unsent = b""
        await self._connection.write(packed)

    async def end(self, data: bytes = b"") -> None:
        """Write the last part, and the end of the answer."""
        packed = self._unsent
        if data:
            packed += self._connection.pack_data(data)
        packed += self._connection.pack_end()
        self._unsent = b""
        # Told before the write: the caller may act on the answer at once.
        self.ended = True
        await self._connection.write(packed)

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
            await self._connection.write(packed)


Handler = Callable[[ReceivedRequest, Responder], Awaitable[None]]


class CallerConnection:
    """One caller's connection, from its opening to its end."""

    def __init__(self, face: "CallersFace", stream: SocketStream) -> None:
        self._face = face
        self._stream = stream
        self._protocol = h11.Connection(h11.SERVER, face.limits().header_bytes)
        self._early: list[bytes] = []
        self._gone = False

    async def serve(self) -> None:
        """Answer requests until either side ends the connection."""
        while True:
            try:
                request = await self._read_request()
            except BadRequestError as error:
                await self._refuse(error)
                return
            if request is None:
                return
            if not await self._handle(request) or not self._next_cycle():
                await self._linger()
                return

    async def _read_request(self) -> ReceivedRequest | None:
        limits = self._face.limits()
        with anyio.move_on_after(limits.idle_timeout_s) as idle:
            self._face.idle.add(idle)
            first = await self._first_bytes()
        self._face.idle.discard(idle)
        if idle.cancelled_caught or not first:
            return None
        with anyio.move_on_after(limits.header_timeout_s) as slow:
            head = await self._read_head()
        if slow.cancelled_caught:
            raise BadRequestError(408, "the head took too long")
        if head is None:
            return None
        received_s = anyio.current_time()
        body = await self._read_body(limits)
        if body is None:
            return None
        return ReceivedRequest(head, body, received_s)

    async def _first_bytes(self) -> bool:
        if self._early or self._protocol.trailing_data[0]:
            return True
        return await self._receive()

    async def _receive(self) -> bool:
        try:
            chunk = await self._stream.receive(CHUNK_BYTES)
        except (anyio.EndOfStream, *STREAM_ERRORS):
            return False
        self._protocol.receive_data(chunk)
        return True

    async def _next_event(self) -> object:
        try:
            while True:
                event = self._protocol.next_event()
                if event is not h11.NEED_DATA:
                    return event
                if self._early:
                    self._protocol.receive_data(self._early.pop(0))
                elif not await self._receive():
                    return None
        except h11.RemoteProtocolError as error:
            raise BadRequestError(
                error.error_status_hint or 400, "no request of HTTP/1.1"
            ) from error

    async def _read_head(self) -> RequestHead | None:
        event = await self._next_event()
        if not isinstance(event, h11.Request):
            return None
        headers = [(key, value) for key, value in event.headers.raw_items()]
        _check_framing(headers)
        return RequestHead(event.method, event.target, headers)

    async def _read_body(self, limits: FaceLimits) -> bytes | None:
        parts: list[bytes] = []
        size = 0
        while True:
            with anyio.move_on_after(limits.idle_timeout_s) as slow:
                if self._protocol.they_are_waiting_for_100_continue:
                    await self._send_continue()
                event = await self._next_event()
            if slow.cancelled_caught:
                raise BadRequestError(408, "the body took too long")
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, h11.Data):
                return None
            parts.append(bytes(event.data))
            size += len(event.data)
            if size > limits.body_bytes:
                raise BadRequestError(413, "the body is too large")

    async def _send_continue(self) -> None:
        reply = h11.InformationalResponse(status_code=100, headers=[])
        await self.write(self._protocol.send(reply) or b"")

    async def _handle(self, request: ReceivedRequest) -> bool:
        """Run the handler; False where the connection must end."""
        responder = Responder(self)
        self._gone = False
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_caller, tasks)
            try:
                await self._face.handler(request, responder)
            except CallerGoneError:
                self._gone = True
            tasks.cancel_scope.cancel()
        return responder.ended and not self._gone

    async def _watch_caller(self, tasks: TaskGroup) -> None:
        # What comes early is the next request; a caller that sends on without end
        # is not read further than one.
        while sum(map(len, self._early)) < CHUNK_BYTES:
            try:
                self._early.append(await self._stream.receive(CHUNK_BYTES))
            except (anyio.EndOfStream, *STREAM_ERRORS):
                self._gone = True
                tasks.cancel_scope.cancel()
                return
        await anyio.sleep_forever()

    def _next_cycle(self) -> bool:
        if self._protocol.our_state is not h11.DONE:
            return False
        try:
            self._protocol.start_next_cycle()
        except h11.ProtocolError:
            return False
        return True

    def pack_head(self, head: ResponseHead) -> bytes:
        """Encode the head of an answer."""
        headers = list(head.headers)
        if self._face.closing:
            headers.append((b"Connection", b"close"))
        response = h11.Response(
            status_code=head.status, headers=headers, reason=head.reason
        )
        return self._protocol.send(response) or b""

    def pack_data(self, data: bytes) -> bytes:
        """Encode a part of a body."""
        return self._protocol.send(h11.Data(data=data)) or b""

    def pack_end(self) -> bytes:
        """Encode the end of an answer."""
        return self._protocol.send(h11.EndOfMessage()) or b""

    async def write(self, packed: bytes) -> None:
        """Write encoded bytes; raises CallerGoneError if nobody is there."""
        if not packed:
            return
        try:
            await self._stream.send(packed)
        except STREAM_ERRORS as error:
            raise CallerGoneError(repr(error)) from error

    async def _refuse(self, error: BadRequestError) -> None:
        self._face.count_bad(error)
        if self._protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        try:
            await Responder(self).answer(error.status, [], b"", close=True)
        except (CallerGoneError, h11.ProtocolError):
            return
        await self._linger()

    async def _linger(self) -> None:
        if self._protocol.our_state is h11.SEND_BODY:
            # Broken off midway: the end must not look like one.
            return
        with anyio.move_on_after(LINGER_S):
            try:
                await self._stream.send_eof()
                while True:
                    await self._stream.receive(CHUNK_BYTES)
            except (anyio.EndOfStream, *STREAM_ERRORS):
                return


def _check_framing(headers: Headers) -> None:
    """Refuse a request whose end two readers could see at two places."""
    lengths = {value for key, value in headers if key.lower() == b"content-length"}
    chunked = any(key.lower() == b"transfer-encoding" for key, _ in headers)
    if len(lengths) > 1 or (lengths and chunked):
        raise BadRequestError(400, "two framings in one request")


class CallersFace:
    """Accepts callers' connections and hands their requests to a handler.

    Parameters
    ----------
    handler : callable
        Answers one request.
    limits : callable
        Returns the bounds in force.
    count_bad : callable
        Takes each request that could not be read.
    count_fault : callable
        Takes each error of the daemon's own code.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], FaceLimits],
        count_bad: Callable[[BadRequestError], None],
        count_fault: Callable[[Exception], None],
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.count_bad = count_bad
        self.count_fault = count_fault
        self.closing = False
        self.open_connections = 0
        self.idle: set[anyio.CancelScope] = set()

    def close_idle(self) -> None:
        """Close the connections on which no request is under way."""
        for scope in list(self.idle):
            scope.cancel()

    async def serve(self, stream: SocketStream) -> None:
        """Serve one connection to its end."""
        self.open_connections += 1
        try:
            set_socket_options(stream)
            await CallerConnection(self, stream).serve()
        except Exception as error:
            # A fault of ours costs this caller its connection, and no other's.
            self.count_fault(error)
        finally:
            self.open_connections -= 1
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)
