"""TCP streams for the HTTP server and client.

They are based on `asyncio.Protocol`: a read of bytes that have already arrived and a
write that the kernel accepts at once need no iteration of the event loop.
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

from knapweedbridge_core.serving.unacknowledged_output import LOST_PEER_TIMEOUT_MS
from knapweedbridge_daemon.serving.client_streams import ClientStream
from knapweedbridge_daemon.serving.output_monitor import (
    MonitoredStream,
    OutputMonitor,
    read_output,
)

MAX_UNREAD_BYTES = 65536
"""Unread bytes beyond which reading from the connection is paused."""

KEEPALIVE_IDLE_S = 1
KEEPALIVE_PROBES = 2
"""A connection whose state was lost by a device on the path shows no error by itself.
Keepalive probes close an idle one in about 3 s, and the timeout for unacknowledged
output one that has written."""

SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, LOST_PEER_TIMEOUT_MS),
)


def set_socket_options(raw: Any) -> None:
    """Disable Nagle's algorithm and let the kernel close dead connections."""
    if raw is None:
        # The connection is already closed.
        return
    for level, option, value in SOCKET_OPTIONS:
        with suppress(OSError):
            raw.setsockopt(level, option, value)


RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ByteStream(asyncio.Protocol, ClientStream, MonitoredStream):
    """TCP connection with one reading and one writing task.

    Attributes
    ----------
    on_end : callable or None
        Called when the other side sends no more, or the connection is lost.
    on_block : callable or None
        Called with True when a write has to wait for the other side, and with False
        when it waits no more.
    most_unread_bytes : int
        Unread bytes beyond which reading is paused.
    """

    def __init__(self, most_unread_bytes: int = MAX_UNREAD_BYTES) -> None:
        self.on_end: Callable[[], Any] | None = None
        self.on_block: Callable[[bool], Any] | None = None
        self.most_unread_bytes = most_unread_bytes
        self._transport: asyncio.Transport
        self._loop = asyncio.get_running_loop()
        self._chunks: deque[bytes] = deque()
        self._unread_bytes = 0
        self._has_eof = False
        self._is_lost = False
        self._error: Exception | None = None
        self._is_reading = True
        self._is_writable = True
        self._read_waiter: asyncio.Future[None] | None = None
        self._write_waiter: asyncio.Future[None] | None = None
        self._deadline_s = math.inf
        self._timer: asyncio.TimerHandle | None = None
        self._monitor = OutputMonitor.of(self._loop)
        self._output_timeout_ms = LOST_PEER_TIMEOUT_MS

    @classmethod
    def from_anyio(
        cls, stream: SocketStream, most_unread_bytes: int = MAX_UNREAD_BYTES
    ) -> "ByteStream":
        """Return a stream that takes over the connection of an accepted anyio stream.

        anyio does not expose the transport publicly; its version is pinned.
        """
        transport = cast(Any, stream)._transport
        previous = cast(Any, stream)._protocol
        taken_over = cls(most_unread_bytes)
        taken_over.connection_made(transport)
        transport.set_protocol(taken_over)
        for chunk in previous.read_queue:
            taken_over.data_received(chunk)
        if previous.is_at_eof:
            taken_over.eof_received()
        if previous.exception is not None or transport.is_closing():
            taken_over.connection_lost(previous.exception)
        return taken_over

    @property
    def peer_host(self) -> str:
        """Network address of the peer; empty if the connection is closed."""
        name = self._transport.get_extra_info("peername")
        return str(name[0]) if name else ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See `asyncio.BaseProtocol`."""
        self._transport = cast(asyncio.Transport, transport)
        # Writers wait until the kernel has accepted all bytes. What a slow reader does
        # not read is buffered only once, and its source is not read further.
        self._transport.set_write_buffer_limits(0)
        set_socket_options(self._transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """See `asyncio.Protocol`."""
        self._chunks.append(data)
        self._unread_bytes += len(data)
        if self._unread_bytes > self.most_unread_bytes:
            self.pause_reading()
        self._wake_reader()

    def pause_reading(self) -> None:
        """Read nothing more from the connection until what was read is received."""
        if self._is_reading and not self.has_ended:
            self._is_reading = False
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """See `asyncio.Protocol`; the connection stays open for writing."""
        self._has_eof = True
        self._notify_end()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """See `asyncio.BaseProtocol`."""
        self._is_lost = True
        self._error = exc
        self._cancel_timer()
        self.resume_writing()
        self._notify_end()

    def pause_writing(self) -> None:
        """See `asyncio.BaseProtocol`."""
        self._is_writable = False

    def resume_writing(self) -> None:
        """See `asyncio.BaseProtocol`."""
        self._is_writable = True
        if self._write_waiter is not None and not self._write_waiter.done():
            self._write_waiter.set_result(None)

    def _wake_reader(self) -> None:
        if self._read_waiter is not None and not self._read_waiter.done():
            self._read_waiter.set_result(None)

    def _notify_end(self) -> None:
        self._wake_reader()
        if self.on_end is not None:
            self.on_end()

    @property
    def has_ended(self) -> bool:
        """Whether the other side sends no more, or the connection is lost."""
        return self._has_eof or self._is_lost

    @property
    def has_news(self) -> bool:
        """Whether bytes or the end of the stream are waiting to be read."""
        return bool(self._chunks) or self.has_ended

    def fileno(self) -> int:
        """Return the socket's descriptor."""
        return int(self._transport.get_extra_info("socket").fileno())

    async def receive(self) -> bytes:
        """Return all bytes received, or empty bytes at an orderly end.

        Raises
        ------
        ConnectionError
            If the connection was lost.
        """
        while not self._chunks:
            if self._has_eof:
                return b""
            if self._is_lost:
                raise self._connection_error()
            self._read_waiter = self._loop.create_future()
            try:
                await self._read_waiter
            finally:
                self._read_waiter = None
        return self._drain()

    def _drain(self) -> bytes:
        chunks = self._chunks
        taken = chunks[0] if len(chunks) == 1 else b"".join(chunks)
        chunks.clear()
        self._unread_bytes = 0
        if not self._is_reading and not self.has_ended:
            self._is_reading = True
            self._transport.resume_reading()
        return taken

    async def receive_by(self, deadline_s: float) -> bytes:
        """Receive like `receive`, until a deadline on the event loop's clock.

        Raises
        ------
        TimeoutError
            If nothing was received by then.
        """
        if self._chunks:
            return self._drain()
        self._deadline_s = deadline_s
        if self._timer is not None and self._timer.when() > deadline_s:
            self._cancel_timer()
        if self._timer is None and not self._is_lost:
            self._timer = self._loop.call_at(deadline_s, self._expire)
        try:
            return await self.receive()
        finally:
            self._deadline_s = math.inf

    def _expire(self) -> None:
        # One timer serves all reads of the connection. It is not rescheduled by each
        # read; when it fires, it is set again for the read that is waiting by then.
        self._timer = None
        if self._deadline_s == math.inf:
            return
        if self._loop.time() < self._deadline_s:
            self._timer = self._loop.call_at(self._deadline_s, self._expire)
        elif self._read_waiter is not None and not self._read_waiter.done():
            self._read_waiter.set_exception(TimeoutError())

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def end_reading(self) -> None:
        """Signal an end to the reader, as if the other side sent no more."""
        self._has_eof = True
        self._wake_reader()

    async def send(self, data: bytes) -> None:
        """Write bytes and wait until the kernel has accepted them.

        Raises
        ------
        ConnectionError
            If the connection is closed.
        """
        if not self._is_writable:
            await self._await_writable()
        if self._is_lost or self._transport.is_closing():
            raise self._connection_error()
        self._transport.write(data)
        self._monitor.watch(self)
        if not self._is_writable:
            await self._await_writable()
        if self._is_lost or self._transport.is_closing():
            raise self._connection_error()

    async def _await_writable(self) -> None:
        self._write_waiter = self._loop.create_future()
        if self.on_block is not None:
            self.on_block(True)
        try:
            await self._write_waiter
        finally:
            self._write_waiter = None
            if self.on_block is not None:
                self.on_block(False)

    def update_timeout(self) -> bool:
        """See `MonitoredStream.update_timeout`."""
        raw = self._transport.get_extra_info("socket")
        if self._is_lost or raw is None:
            return False
        try:
            output = read_output(raw)
            if output.timeout_ms != self._output_timeout_ms:
                raw.setsockopt(
                    socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, output.timeout_ms
                )
                self._output_timeout_ms = output.timeout_ms
        except OSError:
            # The connection is being closed.
            return False
        return output.is_pending

    def _connection_error(self) -> ConnectionError:
        return ConnectionError(repr(self._error) if self._error else "closed")

    def send_eof(self) -> None:
        """Close the connection for writing."""
        if not self._transport.is_closing():
            with suppress(OSError):
                self._transport.write_eof()

    def close(self) -> None:
        """Close the connection and discard unsent data."""
        self._cancel_timer()
        self._transport.abort()

    def reset(self) -> None:
        """Close the connection so that the peer sees a reset, not an orderly end."""
        raw = self._transport.get_extra_info("socket")
        with suppress(OSError):
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.close()


async def connect_stream(ip: str, port: int) -> ByteStream:
    """Open a connection.

    Raises
    ------
    OSError
        If this fails.
    """
    loop = asyncio.get_running_loop()
    _, stream = await loop.create_connection(ByteStream, ip, port)
    return stream
