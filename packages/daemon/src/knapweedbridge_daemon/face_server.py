"""Accepts the connections of a face, within a limit, and serves them by hypercorn."""

import asyncio
import socket
import ssl
from collections.abc import Awaitable, Callable
from contextlib import ExitStack, suppress
from typing import Any

from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from hypercorn.utils import wrap_app
from starlette.types import Message, Receive, Scope, Send

from knapweedbridge_core.connection_limit import ConnectionLimit, ConnectionState
from knapweedbridge_daemon.listening import (
    CLOSED_ERRNOS,
    RETRY_INTERVAL_S,
    SCARCE_ERRNOS,
    limit_receive_buffer,
)

UNREAD_BYTES = 16384
"""Bytes of a connection that wait to be read beyond which no more are received."""


class FaceProtocol(TCPServer):
    """Serves one connection, which ends with the last byte of its client.

    hypercorn keeps a connection that its client has closed open until its keep-alive
    timeout, and with it a descriptor.
    """

    async def _read_data(self) -> None:
        await super()._read_data()
        await self.idle_task.stop()


class FaceConnection:
    """A connection of a client, and the calls on it.

    Parameters
    ----------
    number : int
        Number of the connection.
    raw : socket.socket
        Its socket.
    """

    __slots__ = ("number", "raw", "receiving", "serving")

    def __init__(self, number: int, raw: socket.socket) -> None:
        self.number = number
        self.raw = raw
        self.receiving = 0
        self.serving = 0

    @property
    def state(self) -> ConnectionState:
        """What the connection waits for, as far as its calls say."""
        if self.serving:
            return ConnectionState.SERVING
        return ConnectionState.RECEIVING if self.receiving else ConnectionState.IDLE

    def close(self) -> None:
        """Close the connection; its task ends by itself."""
        with suppress(OSError):
            self.raw.shutdown(socket.SHUT_RDWR)


class FaceServer:
    """Serves one ASGI application within a limit of connections.

    Which connection is closed for a new one is decided by `ConnectionLimit`. Without
    one the new connection is closed.

    Parameters
    ----------
    app : ASGI application
        What serves the calls.
    config : Config
        Settings of the listener.
    limit : ConnectionLimit
        Limits the open connections.
    """

    def __init__(self, app: Any, config: Config, limit: ConnectionLimit) -> None:
        self._app = app
        self._config = config
        self._limit = limit
        self._by_client: dict[tuple[str, int], FaceConnection] = {}
        self._open: dict[int, FaceConnection] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._last_number = 0

    async def serve(self, closing: Callable[[], Awaitable[Any]]) -> None:
        """Serve until told to close, then until the connections have ended."""
        context = WorkerContext(None)
        tls = self._config.create_ssl_context() if self._config.ssl_enabled else None
        sockets = self._config.create_sockets()
        listening = sockets.secure_sockets + sockets.insecure_sockets
        for each in listening:
            limit_receive_buffer(each)
            each.listen(self._config.backlog)
        accepting = [
            asyncio.create_task(self._accept(each, tls, context)) for each in listening
        ]
        try:
            await closing()
        finally:
            await context.terminated.set()
            for task in accepting:
                task.cancel()
            for each in listening:
                each.close()
        if self._tasks:
            timeout_s = self._config.graceful_timeout
            _, pending = await asyncio.wait(self._tasks, timeout=timeout_s)
            for task in pending:
                task.cancel()

    async def _accept(
        self, listening: socket.socket, tls: ssl.SSLContext | None, context: Any
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                raw, _ = await loop.sock_accept(listening)
            except OSError as error:
                if error.errno in CLOSED_ERRNOS:
                    raise
                if error.errno in SCARCE_ERRNOS:
                    self._evict_one()
                    await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            task = loop.create_task(self._serve(raw, tls, context))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, raw: socket.socket, tls: ssl.SSLContext | None, context: Any
    ) -> None:
        if self._limit.is_full and not self._evict_one():
            raw.close()
            return
        loop = asyncio.get_running_loop()
        self._last_number += 1
        connection = FaceConnection(self._last_number, raw)
        client: tuple[str, int] = ("", 0)
        with suppress(OSError):
            client = raw.getpeername()[:2]
        self._open[connection.number] = connection
        self._by_client[client] = connection
        self._limit.add(connection.number, loop.time())
        try:
            with suppress(OSError):
                await self._serve_http(raw, tls, context)
        finally:
            self._limit.remove(connection.number)
            del self._open[connection.number]
            if self._by_client.get(client) is connection:
                del self._by_client[client]
            raw.close()

    async def _serve_http(
        self, raw: socket.socket, tls: ssl.SSLContext | None, context: Any
    ) -> None:
        config, loop = self._config, asyncio.get_running_loop()
        reader = asyncio.StreamReader(limit=UNREAD_BYTES, loop=loop)
        protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
        transport, _ = await loop.connect_accepted_socket(
            lambda: protocol,
            raw,
            ssl=tls,
            ssl_handshake_timeout=config.ssl_handshake_timeout if tls else None,
        )
        writer = asyncio.StreamWriter(transport, protocol, reader, loop)
        app = wrap_app(self._call, config.wsgi_max_body_size, "asgi")
        await FaceProtocol(app, loop, config, context, {}, reader, writer)

    def _evict_one(self) -> bool:
        """Close the connection that gives way to a new one, if there is one."""
        number = self._limit.choose(asyncio.get_running_loop().time())
        if number is None:
            return False
        self._open[number].close()
        return True

    async def _call(self, scope: Scope, receive: Receive, send: Send) -> None:
        connection = self._by_client.get(tuple(scope.get("client") or ()))
        if scope["type"] != "http" or connection is None:
            await self._app(scope, receive, send)
            return
        call = TrackedCall(connection, self._limit, receive, send)
        with call.counted(has_body(scope)):
            await self._app(scope, call.receive, call.send)


class TrackedCall:
    """Records what a connection waits for while one of its calls is served.

    Parameters
    ----------
    connection : FaceConnection
        The connection of the call.
    limit : ConnectionLimit
        Limits the open connections.
    receive, send : callable
        See the ASGI specification.
    """

    __slots__ = ("_connection", "_is_complete", "_limit", "_receive", "_send")

    def __init__(
        self,
        connection: FaceConnection,
        limit: ConnectionLimit,
        receive: Receive,
        send: Send,
    ) -> None:
        self._connection = connection
        self._limit = limit
        self._receive = receive
        self._send = send
        self._is_complete = False

    def counted(self, has_body: bool) -> "TrackedCall":
        """Begin to track; returns the context in which the call is served."""
        self._is_complete = not has_body
        return self

    def __enter__(self) -> None:
        self._count(1)

    def __exit__(self, *error: object) -> None:
        self._count(-1)

    def _count(self, change: int) -> None:
        if self._is_complete:
            self._connection.serving += change
        else:
            self._connection.receiving += change
        self._enter(self._connection.state)

    def _enter(self, state: ConnectionState) -> None:
        now_s = asyncio.get_running_loop().time()
        self._limit.enter(self._connection.number, state, now_s)

    async def receive(self) -> Message:
        """See the ASGI specification."""
        message = await self._receive()
        is_last = not message.get("more_body", False)
        if message["type"] == "http.request" and is_last and not self._is_complete:
            self._count(-1)
            self._is_complete = True
            self._count(1)
        return message

    async def send(self, message: Message) -> None:
        """See the ASGI specification."""
        is_last = message["type"] == "http.response.body"
        is_last = is_last and not message.get("more_body", False)
        self._enter(ConnectionState.BLOCKED)
        try:
            with ExitStack() as stack:
                if is_last and not self._is_complete:
                    discarding = asyncio.create_task(self._discard())
                    stack.callback(discarding.cancel)
                await self._send(message)
        finally:
            self._enter(self._connection.state)

    async def _discard(self) -> None:
        """Discard the rest of a body that the application did not read.

        hypercorn ends a call through the queue of its messages. While nobody takes them
        and the queue is full, the connection would stay open.
        """
        while (await self._receive())["type"] != "http.disconnect":
            pass


def has_body(scope: Scope) -> bool:
    """Return whether the head of a call announces a body."""
    framing = {b"content-length", b"transfer-encoding"}
    return any(
        name.lower() in framing and value != b"0" for name, value in scope["headers"]
    )
