"""Connections to HTTP/1.1 servers, under the forwarding code's own control.

A client library hides what decides here whether a call may be sent again: if any
byte of it was written, whether an answer belongs to it, and whether a body without a
length ended or was reset. So this speaks by h11 over the event loop's streams.
"""

import re
import select
import socket
from collections import defaultdict, deque
from collections.abc import AsyncGenerator, Callable
from contextlib import asynccontextmanager, suppress

import anyio
import h11
from anyio.abc import SocketAttribute, SocketStream

from knapweedbridge_core.addresses import split_address
from knapweedbridge_daemon.errors import DaemonError
from knapweedbridge_daemon.serving.wire import (
    Headers,
    RequestHead,
    ResponseHead,
    WireRequest,
    connection_options,
    get_header,
)

CONNECT_TIMEOUT_S = 0.6
"""Bound on a new connection: way and handshake take a few ms, and a lost opening
packet is sent again after a second, when another endpoint has long answered."""

IDLE_DEFAULT_S = 4.0
"""Idle life of a kept connection whose server names none."""

IDLE_SHARE = 0.6
"""Share of the server's idle time-out that a connection is kept for: a request must
not cross the server's close, after which nobody can tell whether it was run."""

CHUNK_BYTES = 65536
MOST_HEAD_BYTES = 65536
BUFFERED_BYTES = 65536
"""What is written at once: the event loop buffers as much without waiting for the
server. Only longer requests are written while their answer is read."""

KEEPALIVE_IDLE_S = 1
KEEPALIVE_PROBES = 2
UNACKED_MS = 2500
"""A connection that something between the two ends lost track of shows no error by
itself: probes and this bound on unacknowledged bytes end it in about 3 s."""

_TIMEOUT = re.compile(r"timeout=(\d+)")

SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_MS),
)

STREAM_ERRORS = (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError)
"""What a broken or closed connection shows."""

Belongs = Callable[[Headers], bool]


class NotSentError(DaemonError):
    """No byte of the request was written: it cannot have run."""


class BrokenError(DaemonError):
    """The connection broke, or what came is no answer; the request may have run."""


def set_socket_options(stream: SocketStream) -> None:
    """Let dead connections show, and small writes go at once."""
    raw = stream.extra(SocketAttribute.raw_socket)
    for level, option, value in SOCKET_OPTIONS:
        with suppress(OSError):
            raw.setsockopt(level, option, value)


class ClientConnection:
    """One connection to a server, for one request at a time.

    Parameters
    ----------
    stream : SocketStream
        The connection, which this owns.
    address : str
        Where it leads.
    """

    def __init__(self, stream: SocketStream, address: str) -> None:
        self.address = address
        self.requests = 0
        self.idle_until_s = 0.0
        self._stream = stream
        self._protocol = h11.Connection(h11.CLIENT, MOST_HEAD_BYTES)
        self._keep_s = IDLE_DEFAULT_S
        self._sent_whole = False
        self._keeps = True

    async def exchange(
        self, head: RequestHead, body: bytes, belongs: Belongs
    ) -> ResponseHead:
        """Write a request, and read the head of its answer.

        Raises
        ------
        BrokenError
            If the connection broke without an answer; part of the request may have
            been written.
        """
        self.requests += 1
        self._sent_whole = False
        packed = self._pack(head, body)
        if len(packed) > BUFFERED_BYTES:
            return await self._exchange_long(packed, head, belongs)
        await self._write(packed)
        self._sent_whole = True
        return await self._read_head(head, belongs)

    async def _exchange_long(
        self, packed: bytes, head: RequestHead, belongs: Belongs
    ) -> ResponseHead:
        # A server may refuse a long body before it has read it, and close. The write
        # then breaks, and what was not read by then is lost: the answer that proves
        # that the call was not run. So it is read while the body is written. Where
        # the connection is kept, the server still reads the rest as a body.
        answer: ResponseHead | None = None
        broken: BrokenError | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._write_long, packed)
            try:
                answer = await self._read_head(head, belongs)
            except BrokenError as error:
                broken = error
            if broken or not self._keeps:
                tasks.cancel_scope.cancel()
        if answer is None:
            raise broken or BrokenError(f"{self.address}: no answer")
        return answer

    async def _write_long(self, packed: bytes) -> None:
        try:
            await self._write(packed)
        except BrokenError:
            # Whether an answer came before, the reader tells.
            self._keeps = False
            return
        self._sent_whole = True

    async def call(self, request: WireRequest) -> tuple[ResponseHead, bytes]:
        """Exchange a request of our own, and read the whole answer.

        Raises
        ------
        BrokenError
            If the connection broke before the answer's end.
        """
        head = await self.exchange(request.head, request.body, lambda headers: True)
        parts = [part async for part in self.read_body()]
        return head, b"".join(parts)

    def _pack(self, head: RequestHead, body: bytes) -> bytes:
        request = h11.Request(
            method=head.method, target=head.target, headers=head.headers
        )
        packed = self._protocol.send(request) or b""
        if body:
            packed += self._protocol.send(h11.Data(data=body)) or b""
        return packed + (self._protocol.send(h11.EndOfMessage()) or b"")

    async def _write(self, packed: bytes) -> None:
        try:
            await self._stream.send(packed)
        except STREAM_ERRORS as error:
            raise BrokenError(f"{self.address}: {error!r}") from error

    async def _read_head(self, request: RequestHead, belongs: Belongs) -> ResponseHead:
        """Read the head of the answer to the request that was sent.

        A server may answer an earlier request a second time, where this one's answer
        is due; such an answer is read to its end and dropped.
        """
        while True:
            head = await self._next_head()
            if belongs(head.headers):
                return head
            async for _ in self.read_body():
                pass
            self._restart(request)

    async def _next_head(self) -> ResponseHead:
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                headers = [(key, value) for key, value in event.headers.raw_items()]
                self._note_keeping(headers)
                return ResponseHead(event.status_code, headers, event.reason)
            if not isinstance(event, h11.InformationalResponse):
                raise BrokenError(f"{self.address}: closed before its answer")

    def _note_keeping(self, headers: Headers) -> None:
        if b"close" in connection_options(headers):
            self._keeps = False
        named = _TIMEOUT.search(get_header(headers, b"keep-alive") or "")
        self._keep_s = float(named[1]) if named else IDLE_DEFAULT_S

    def _restart(self, request: RequestHead) -> None:
        rest, _ = self._protocol.trailing_data
        self._protocol = h11.Connection(h11.CLIENT, MOST_HEAD_BYTES)
        self._pack(request, b"")
        if rest:
            self._protocol.receive_data(rest)

    async def read_body(self) -> AsyncGenerator[bytes, None]:
        """Yield the answer's body as it comes, to its proved end.

        Raises
        ------
        BrokenError
            If it was cut before its end.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise BrokenError(f"{self.address}: cut in its answer")

    async def _next_event(self) -> object:
        try:
            while True:
                event = self._protocol.next_event()
                if event is not h11.NEED_DATA:
                    return event
                try:
                    chunk = await self._stream.receive(CHUNK_BYTES)
                except anyio.EndOfStream:
                    chunk = b""
                self._protocol.receive_data(chunk)
        except (*STREAM_ERRORS, h11.ProtocolError) as error:
            raise BrokenError(f"{self.address}: {error!r}") from error

    def end_exchange(self, now_s: float) -> bool:
        """Make ready for the next request; False where it must be closed.

        Bytes that follow a whole answer belong to no request, so a connection with
        such bytes is not used again.
        """
        whole = self._protocol.their_state is h11.DONE
        clean = whole and not self._protocol.trailing_data[0]
        if not (clean and self._keeps and self._sent_whole):
            return False
        try:
            self._protocol.start_next_cycle()
        except h11.ProtocolError:
            return False
        self.idle_until_s = now_s + IDLE_SHARE * self._keep_s
        return True

    def is_silent(self) -> bool:
        """Tell whether an idle connection has neither ended nor sent bytes."""
        raw = self._stream.extra(SocketAttribute.raw_socket)
        poll = select.poll()
        try:
            poll.register(raw.fileno(), select.POLLIN | select.POLLHUP)
        except (OSError, ValueError):
            return False
        return not poll.poll(0)

    async def aclose(self) -> None:
        """Close the connection; what it still carried is lost."""
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self._stream)


class ConnectionPool:
    """Keeps idle connections by address."""

    def __init__(self) -> None:
        self._idle: dict[str, deque[ClientConnection]] = defaultdict(deque)
        self.opened = 0
        self.reused = 0

    @asynccontextmanager
    async def connection(self, address: str) -> AsyncGenerator[ClientConnection, None]:
        """Lend a connection; it is kept if its last answer ended cleanly.

        Raises
        ------
        NotSentError
            If none can be made.
        """
        connection = await self._take(address)
        if connection is None:
            connection = await self._open(address)
        else:
            self.reused += 1
        kept = False
        try:
            yield connection
            kept = connection.end_exchange(anyio.current_time())
        finally:
            if kept:
                self._idle[address].append(connection)
            else:
                await connection.aclose()

    async def _take(self, address: str) -> ClientConnection | None:
        while self._idle[address]:
            connection = self._idle[address].pop()
            fresh = connection.idle_until_s > anyio.current_time()
            if fresh and connection.is_silent():
                return connection
            await connection.aclose()
        return None

    async def _open(self, address: str) -> ClientConnection:
        ip, port = split_address(address)
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await anyio.connect_tcp(ip, port)
        except (OSError, TimeoutError) as error:
            raise NotSentError(f"{address}: {error!r}") from error
        self.opened += 1
        set_socket_options(stream)
        return ClientConnection(stream, address)

    async def close_idle(self, wanted: set[str] | None = None) -> None:
        """Close connections whose idle life is over, or that lead elsewhere."""
        now_s = anyio.current_time()
        over: list[ClientConnection] = []
        for address, connections in list(self._idle.items()):
            unwanted = wanted is not None and address not in wanted
            kept = [
                each
                for each in connections
                if not unwanted and each.idle_until_s > now_s
            ]
            over += [each for each in connections if each not in kept]
            self._idle[address] = deque(kept)
            if not kept:
                del self._idle[address]
        # Closed last: while one closes, another task may take a connection.
        for connection in over:
            await connection.aclose()

    async def close_idle_to(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            await connection.aclose()

    async def aclose(self) -> None:
        """Close all idle connections."""
        await self.close_idle(set())
