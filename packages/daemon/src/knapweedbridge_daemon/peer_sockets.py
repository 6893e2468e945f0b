"""Byte streams over TCP for messages between daemons, at little cost a message.

A message is a few hundred bytes, so what a stream does besides the system's calls
counts: the streams of anyio pass control to the event loop at each send and receive,
and stop and start reading around each chunk. These write at once, and read on until
much waits.
"""

import asyncio
import itertools
from collections import deque
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any, cast

import anyio
from anyio.abc import ByteStream

from knapweedbridge_core.connection_limit import ConnectionLimit

MOST_UNREAD_BYTES = 262_144
"""Bytes that wait for their reader past which no more are taken from the system."""

BACKLOG = 1024


class PeerSocket(asyncio.Protocol, ByteStream):
    """A connection to a peer, or from one.

    Parameters
    ----------
    on_made : callable, optional
        Takes the stream when the connection stands.

    Attributes
    ----------
    on_settled : callable
        Called when the peer has proved itself, and when the connection is lost.
    """

    def __init__(
        self, on_made: Callable[["PeerSocket"], None] = lambda made: None
    ) -> None:
        self._on_made = on_made
        self._transport: asyncio.Transport | None = None
        self._chunks: deque[bytes] = deque()
        self._unread_bytes = 0
        self._reads = True
        self._ended = False
        self._error: Exception | None = None
        self._lost = False
        self._closed = False
        self._reader: asyncio.Future[None] | None = None
        self._may_write = asyncio.Event()
        self._may_write.set()
        self.on_settled: Callable[[], None] = lambda: None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See `asyncio.BaseProtocol.connection_made`."""
        self._transport = cast(asyncio.Transport, transport)
        self._on_made(self)

    def data_received(self, data: bytes) -> None:
        """See `asyncio.Protocol.data_received`."""
        self._chunks.append(data)
        self._unread_bytes += len(data)
        if self._unread_bytes > MOST_UNREAD_BYTES and self._transport and self._reads:
            self._reads = False
            self._transport.pause_reading()
        self._wake_reader()

    def eof_received(self) -> bool:
        """See `asyncio.Protocol.eof_received`; what is to be sent still is."""
        self._ended = True
        self._wake_reader()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """See `asyncio.BaseProtocol.connection_lost`."""
        self._lost, self._error = True, exc
        self.on_settled()
        self._wake_reader()
        self._may_write.set()

    def pause_writing(self) -> None:
        """See `asyncio.BaseProtocol.pause_writing`."""
        self._may_write.clear()

    def resume_writing(self) -> None:
        """See `asyncio.BaseProtocol.resume_writing`."""
        self._may_write.set()

    def _wake_reader(self) -> None:
        if self._reader is not None and not self._reader.done():
            self._reader.set_result(None)

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Return what came; the bytes of one chunk, at most ``max_bytes``.

        Raises
        ------
        anyio.EndOfStream
            If the peer sends no more.
        anyio.BrokenResourceError
            If the connection broke.
        anyio.ClosedResourceError
            If the stream was closed here.
        """
        while not self._chunks:
            self._check_open()
            if self._ended or self._lost:
                raise anyio.EndOfStream
            if self._reader is not None:
                raise anyio.BusyResourceError("reading from")
            self._reader = asyncio.get_running_loop().create_future()
            try:
                await self._reader
            finally:
                self._reader = None
        return self._next_chunk(max_bytes)

    def _next_chunk(self, max_bytes: int) -> bytes:
        chunk = self._chunks.popleft()
        if len(chunk) > max_bytes:
            self._chunks.appendleft(chunk[max_bytes:])
            chunk = chunk[:max_bytes]
        self._unread_bytes -= len(chunk)
        if not self._reads and not self._chunks:
            self._read_on()
        return chunk

    def _read_on(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._reads = True
            self._transport.resume_reading()

    @property
    def has_news(self) -> bool:
        """Whether bytes or an end wait to be read."""
        return bool(self._chunks) or self._ended or self._lost

    @property
    def raw(self) -> Any:
        """The socket, for its options and its descriptor."""
        assert self._transport is not None
        return self._transport.get_extra_info("socket")

    @property
    def takes_more(self) -> bool:
        """Whether what is sent now would not wait for the peer."""
        return self._may_write.is_set()

    async def send(self, item: bytes) -> None:
        """Write some bytes; waits only while the system takes no more.

        Raises
        ------
        anyio.BrokenResourceError
            If the connection broke.
        anyio.ClosedResourceError
            If the stream was closed here.
        """
        self._check_open()
        if self._lost or self._transport is None or self._transport.is_closing():
            raise anyio.BrokenResourceError
        self._transport.write(item)
        if not self._may_write.is_set():
            await self._may_write.wait()

    def _check_open(self) -> None:
        if self._closed:
            raise anyio.ClosedResourceError
        if self._error is not None:
            raise anyio.BrokenResourceError from self._error

    async def send_eof(self) -> None:
        """Tell the peer that nothing more is sent."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write_eof()

    async def aclose(self) -> None:
        """Close the connection at once; what was not sent yet is dropped."""
        self.abort()

    def abort(self) -> None:
        """Close as `aclose` does."""
        self._closed = True
        self._wake_reader()
        if self._transport is not None:
            self._transport.abort()


async def connect_peer(ip: str, port: int) -> PeerSocket:
    """Open a connection to a peer; raises OSError where that fails."""
    loop = asyncio.get_running_loop()
    _, made = await loop.create_connection(PeerSocket, ip, port)
    return made


Serve = Callable[[PeerSocket], Coroutine[Any, Any, None]]


class PeerListener:
    """An address that is listened on for connections from peers.

    Parameters
    ----------
    most_unproven : int, optional
        Most connections of peers that have not proved themselves; 0: no limit. The
        oldest of them is closed for a further one.

    Attributes
    ----------
    address : str
        The address, with the port that was given where none was asked for.
    """

    def __init__(self, most_unproven: int = 0) -> None:
        self._limit = ConnectionLimit(most_unproven)
        self._unproven: dict[int, PeerSocket] = {}
        self._numbers = itertools.count(1)
        self._server: asyncio.Server | None = None
        self._made: deque[PeerSocket] = deque()
        self._arrived = asyncio.Event()
        self.address = ""

    async def listen(self, ip: str, port: int) -> None:
        """Listen; connections wait until they are served."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: PeerSocket(self._take), ip, port, backlog=BACKLOG
        )
        ip, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{ip}:{port}"

    def _take(self, made: PeerSocket) -> None:
        # Called by the event loop outside of any task, where none can be started.
        self._make_room()
        number = next(self._numbers)
        self._unproven[number] = made
        self._limit.add(number, asyncio.get_running_loop().time())
        made.on_settled = partial(self._settle, number)
        self._made.append(made)
        self._arrived.set()

    def _make_room(self) -> None:
        if self._limit.is_full:
            oldest = self._limit.choose(asyncio.get_running_loop().time())
            if oldest is not None:
                self._unproven[oldest].abort()

    def _settle(self, number: int) -> None:
        if self._unproven.pop(number, None) is not None:
            self._limit.remove(number)

    async def serve(self, serve: Serve) -> None:
        """Serve each connection in a task of its own until cancelled."""
        try:
            async with anyio.create_task_group() as tasks:
                while True:
                    self._arrived.clear()
                    while self._made:
                        tasks.start_soon(serve, self._made.popleft())
                    await self._arrived.wait()
        finally:
            await self.aclose()

    async def aclose(self) -> None:
        """Listen no more, and close what was not served yet."""
        if self._server is not None:
            self._server.close()
        while self._made:
            await self._made.popleft().aclose()
