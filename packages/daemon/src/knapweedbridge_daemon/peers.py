"""Streams of msgpack messages between daemons."""

import contextlib
import hashlib
import hmac
import secrets
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import msgpack
from anyio.abc import SocketStream, TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from knapweedbridge_core.errors import MessageError
from knapweedbridge_core.events import PeerHeard, PeerLinked, PeerUnlinked
from knapweedbridge_core.messages import decode, encode, unpacker
from knapweedbridge_daemon.errors import PeerError

CHUNK_BYTES = 65536
OUTBOX_MESSAGES = 10_000
HANDSHAKE_TIMEOUT_S = 2.0
RECONNECT_S = 0.3

STREAM_ERRORS = (
    OSError,
    PeerError,
    TimeoutError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
)

Submit = Callable[[Any], Awaitable[None]]


def _proof(secret: bytes, *parts: bytes) -> bytes:
    return hmac.new(secret, b"\0".join(parts), hashlib.sha256).digest()


class _Reader:
    """Decodes values from one stream."""

    def __init__(self, stream: SocketStream) -> None:
        self._stream = stream
        self._unpacker = unpacker()

    async def next(self) -> Any:
        while True:
            for value in self._unpacker:
                return value
            self._unpacker.feed(await self._stream.receive(CHUNK_BYTES))


class Peers:
    """Owns all streams to peers: one out to each, used to send; those in to hear.

    Parameters
    ----------
    host : str
        Name of this host.
    secret : bytes
        Secret that all daemons share; each side proves that it knows it.
    silence_s : float
        Silence after which a stream is closed.
    submit : callable
        Takes events for the core.
    """

    def __init__(
        self, host: str, secret: bytes, silence_s: float, submit: Submit
    ) -> None:
        self._host = host
        self._secret = secret
        self._silence_s = silence_s
        self._submit = submit
        self._outboxes: dict[str, MemoryObjectSendStream[Any]] = {}
        self._scopes: dict[str, anyio.CancelScope] = {}
        self.dropped_messages = 0

    def send(self, host: str, message: Any) -> None:
        """Queue a message; it is dropped when the peer has no stream."""
        outbox = self._outboxes.get(host)
        if outbox is None:
            self.dropped_messages += 1
            return
        try:
            outbox.send_nowait(message)
        except anyio.WouldBlock:
            self.dropped_messages += 1

    def want(self, tasks: TaskGroup, addresses: dict[str, str]) -> None:
        """Keep a stream to each of these peers, and to no other."""
        for host in list(self._scopes):
            if host not in addresses:
                self._scopes.pop(host).cancel()
        for host, address in addresses.items():
            if host not in self._scopes and host != self._host:
                scope = anyio.CancelScope()
                self._scopes[host] = scope
                tasks.start_soon(self._keep, host, address, scope)

    async def _keep(self, host: str, address: str, scope: anyio.CancelScope) -> None:
        with scope:
            while True:
                with contextlib.suppress(*STREAM_ERRORS):
                    await self._connect(host, address)
                await anyio.sleep(RECONNECT_S)

    async def _connect(self, host: str, address: str) -> None:
        ip, _, port = address.rpartition(":")
        with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
            stream = await anyio.connect_tcp(ip, int(port))
        async with stream:
            with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
                await self._greet(stream)
            send, receive = anyio.create_memory_object_stream[Any](OUTBOX_MESSAGES)
            self._outboxes[host] = send
            await self._submit(PeerLinked(host))
            try:
                await self._write(stream, receive)
            finally:
                del self._outboxes[host]
                with anyio.CancelScope(shield=True):
                    await self._submit(PeerUnlinked(host))

    async def _write(
        self, stream: SocketStream, outbox: MemoryObjectReceiveStream[Any]
    ) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cancel_when_closed, stream, tasks.cancel_scope)
            try:
                await self._write_batches(stream, outbox)
            except anyio.BrokenResourceError:
                tasks.cancel_scope.cancel()

    @staticmethod
    async def _write_batches(
        stream: SocketStream, outbox: MemoryObjectReceiveStream[Any]
    ) -> None:
        while True:
            packed = [encode(await outbox.receive())]
            while outbox.statistics().current_buffer_used:
                packed.append(encode(outbox.receive_nowait()))
            await stream.send(b"".join(packed))

    @staticmethod
    async def _cancel_when_closed(
        stream: SocketStream, scope: anyio.CancelScope
    ) -> None:
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            await stream.receive(CHUNK_BYTES)
        scope.cancel()

    async def _greet(self, stream: SocketStream) -> None:
        reader = _Reader(stream)
        theirs = await reader.next()
        mine = secrets.token_bytes(16)
        proof = _proof(self._secret, theirs, mine, self._host.encode())
        await stream.send(msgpack.packb([self._host, mine, proof]))
        answer = await reader.next()
        if not hmac.compare_digest(answer, _proof(self._secret, mine, theirs)):
            raise PeerError("the peer does not know the secret")

    async def serve(self, stream: SocketStream) -> None:
        """Hear one peer until its stream ends."""
        async with stream:
            try:
                with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
                    host, reader = await self._welcome(stream)
                while True:
                    with anyio.fail_after(self._silence_s):
                        value = await reader.next()
                    await self._submit(PeerHeard(host, decode(value)))
            except (anyio.EndOfStream, anyio.BrokenResourceError, TimeoutError):
                return
            except (PeerError, MessageError, msgpack.UnpackException, ValueError):
                return

    async def _welcome(self, stream: SocketStream) -> tuple[str, _Reader]:
        reader = _Reader(stream)
        mine = secrets.token_bytes(16)
        await stream.send(msgpack.packb(mine))
        host, theirs, proof = await reader.next()
        expected = _proof(self._secret, mine, theirs, host.encode())
        if not hmac.compare_digest(proof, expected):
            raise PeerError(f"{host} does not know the secret")
        await stream.send(msgpack.packb(_proof(self._secret, theirs, mine)))
        return host, reader
