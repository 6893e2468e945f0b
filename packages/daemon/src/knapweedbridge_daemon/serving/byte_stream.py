"""TCP connections as the HTTP code reads and writes them.

An `asyncio.Protocol` takes the bytes where the event loop has them: a read that finds
bytes, and a write that the kernel takes whole, cost no turn of the event loop.
"""

import asyncio
import math
import socket
import struct
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import Any, cast

from anyio.abc import SocketStream

from knapweedbridge_daemon.serving.client_streams import ClientStream

HELD_BYTES = 65536
"""Bytes that wait to be read, beyond which the connection is not read further."""

KEEPALIVE_IDLE_S = 1
KEEPALIVE_PROBES = 2
UNACKED_MS = 2500
"""A connection that something between the two ends lost track of shows no error by
itself: probes and this bound on unacknowledged bytes end it in about 3 s."""

SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_MS),
)


def set_socket_options(raw: Any) -> None:
    """Have the system end a connection that something between its ends has lost."""
    if raw is None:
        # The connection is gone already.
        return
    for level, option, value in SOCKET_OPTIONS:
        with suppress(OSError):
            raw.setsockopt(level, option, value)


RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ByteStream(asyncio.Protocol, ClientStream):
    """One TCP connection, read by one task and written by one task."""

    def __init__(self) -> None:
        self.on_end: Callable[[], Any] | None = None
        self._transport: asyncio.Transport
        self._loop = asyncio.get_running_loop()
        self._chunks: deque[bytes] = deque()
        self._held_bytes = 0
        self._has_eof = False
        self._is_lost = False
        self._error: Exception | None = None
        self._is_reading = True
        self._is_writable = True
        self._read: asyncio.Future[None] | None = None
        self._written: asyncio.Future[None] | None = None
        self._deadline_s = math.inf
        self._timer: asyncio.TimerHandle | None = None

    @classmethod
    def from_anyio(cls, stream: SocketStream) -> "ByteStream":
        """Return a stream that has the connection of an accepted anyio stream.

        The transport has no public name there; the version of anyio is pinned.
        """
        transport = cast(Any, stream)._transport
        before = cast(Any, stream)._protocol
        own = cls()
        own.connection_made(transport)
        transport.set_protocol(own)
        for chunk in before.read_queue:
            own.data_received(chunk)
        if before.is_at_eof:
            own.eof_received()
        if before.exception is not None or transport.is_closing():
            own.connection_lost(before.exception)
        return own

    @property
    def peer_host(self) -> str:
        """Network address of the other end; empty where the connection is gone."""
        name = self._transport.get_extra_info("peername")
        return str(name[0]) if name else ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See `asyncio.BaseProtocol`."""
        self._transport = cast(asyncio.Transport, transport)
        # Writers wait until the kernel has all bytes: what a slow reader does not
        # take is held once, and its source is not read further.
        self._transport.set_write_buffer_limits(0)
        set_socket_options(self._transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """See `asyncio.Protocol`."""
        self._chunks.append(data)
        self._held_bytes += len(data)
        if self._held_bytes > HELD_BYTES and self._is_reading:
            self._is_reading = False
            self._transport.pause_reading()
        self._wake_reader()

    def eof_received(self) -> bool:
        """See `asyncio.Protocol`; the other direction stays open."""
        self._has_eof = True
        self._tell_end()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """See `asyncio.BaseProtocol`."""
        self._is_lost = True
        self._error = exc
        self._drop_timer()
        self.resume_writing()
        self._tell_end()

    def pause_writing(self) -> None:
        """See `asyncio.BaseProtocol`."""
        self._is_writable = False

    def resume_writing(self) -> None:
        """See `asyncio.BaseProtocol`."""
        self._is_writable = True
        if self._written is not None and not self._written.done():
            self._written.set_result(None)

    def _wake_reader(self) -> None:
        if self._read is not None and not self._read.done():
            self._read.set_result(None)

    def _tell_end(self) -> None:
        self._wake_reader()
        if self.on_end is not None:
            self.on_end()

    @property
    def has_ended(self) -> bool:
        """Whether the other side sends no more, or the connection is gone."""
        return self._has_eof or self._is_lost

    @property
    def has_news(self) -> bool:
        """Whether bytes or an end wait to be read."""
        return bool(self._chunks) or self.has_ended

    def fileno(self) -> int:
        """Return the socket's descriptor."""
        return int(self._transport.get_extra_info("socket").fileno())

    async def receive(self) -> bytes:
        """Return all bytes that came; none are returned at an orderly end.

        Raises
        ------
        ConnectionError
            If the connection ended otherwise.
        """
        while not self._chunks:
            if self._has_eof:
                return b""
            if self._is_lost:
                raise self._broken()
            self._read = self._loop.create_future()
            try:
                await self._read
            finally:
                self._read = None
        return self._take()

    def _take(self) -> bytes:
        chunks = self._chunks
        taken = chunks[0] if len(chunks) == 1 else b"".join(chunks)
        chunks.clear()
        self._held_bytes = 0
        if not self._is_reading and not self.has_ended:
            self._is_reading = True
            self._transport.resume_reading()
        return taken

    async def receive_by(self, deadline_s: float) -> bytes:
        """Receive as `receive` does, until a time on the event loop's clock.

        Raises
        ------
        TimeoutError
            If nothing came by then.
        """
        if self._chunks:
            return self._take()
        self._deadline_s = deadline_s
        if self._timer is not None and self._timer.when() > deadline_s:
            self._drop_timer()
        if self._timer is None and not self._is_lost:
            self._timer = self._loop.call_at(deadline_s, self._expire)
        try:
            return await self.receive()
        finally:
            self._deadline_s = math.inf

    def _expire(self) -> None:
        # One timer serves all reads of the connection. It is not moved at each of
        # them; when it is due, it is set again for the read that waits by then.
        self._timer = None
        if self._deadline_s == math.inf:
            return
        if self._loop.time() < self._deadline_s:
            self._timer = self._loop.call_at(self._deadline_s, self._expire)
        elif self._read is not None and not self._read.done():
            self._read.set_exception(TimeoutError())

    def _drop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def end_reading(self) -> None:
        """Let the reader find an end, as if the other side sent no more."""
        self._has_eof = True
        self._wake_reader()

    async def send(self, data: bytes) -> None:
        """Write bytes, and wait until the kernel has them.

        Raises
        ------
        ConnectionError
            If the connection is gone.
        """
        if not self._is_writable:
            await self._wait_written()
        if self._is_lost or self._transport.is_closing():
            raise self._broken()
        self._transport.write(data)
        if not self._is_writable:
            await self._wait_written()
        if self._is_lost or self._transport.is_closing():
            raise self._broken()

    async def _wait_written(self) -> None:
        self._written = self._loop.create_future()
        try:
            await self._written
        finally:
            self._written = None

    def _broken(self) -> ConnectionError:
        return ConnectionError(repr(self._error) if self._error else "closed")

    def send_eof(self) -> None:
        """End the direction that is written."""
        if not self._transport.is_closing():
            with suppress(OSError):
                self._transport.write_eof()

    def close(self) -> None:
        """Close the connection; what it still carried is lost."""
        self._drop_timer()
        self._transport.abort()

    def reset(self) -> None:
        """Close the connection so that the other side sees an error, not an end."""
        raw = self._transport.get_extra_info("socket")
        with suppress(OSError):
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.close()


async def connect_stream(ip: str, port: int) -> ByteStream:
    """Open a connection; raises OSError where that fails."""
    loop = asyncio.get_running_loop()
    _, stream = await loop.create_connection(ByteStream, ip, port)
    return stream
