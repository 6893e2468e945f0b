"""Streams of msgpack messages between daemons.

A stream carries messages one way and their acknowledgements the other. It is
opened by the first message to a peer and closed when it was idle for long.

One task watches the clock for all streams. A daemon of a large deployment holds some
forty; a timer for each of their waits, and an acknowledgement for each message, were a
third of what hearing peers cost it.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import msgpack
from anyio.abc import TaskGroup

from knapweedbridge_core.addresses import split_address
from knapweedbridge_core.codec import decode, encode, unpacker
from knapweedbridge_core.errors import MessageError, UnknownMessageError
from knapweedbridge_core.peer_events import PeerConnected, PeerDisconnected, PeerMessage
from knapweedbridge_core.serving.tunnel_messages import TunnelRequest
from knapweedbridge_core.timeline import HybridClock
from knapweedbridge_daemon.errors import PeerError
from knapweedbridge_daemon.handshake import Handshake
from knapweedbridge_daemon.peer_sockets import PeerSocket, connect_peer
from knapweedbridge_daemon.peer_streams import HeardHost, LinkOut, PeerBytes, StreamIn
from knapweedbridge_daemon.stamps import NoStamps, PeerClock, Stamping

CHUNK_BYTES = 65536
BATCH_BYTES = 262_144
HANDSHAKE_TIMEOUT_S = 2.0
RECONNECT_S = 0.3
IDLE_S = 10.0
LOOKS_A_SILENCE = 8
"""Looks at all streams within the silence that closes one. What was heard since the
last look is acknowledged at once, so a peer waits an eighth of that silence at most."""

ACKNOWLEDGEMENT = msgpack.packb(None)

STREAM_ERRORS = (
    OSError,
    PeerError,
    TimeoutError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)

Submit = Callable[[Any], Awaitable[None]]
ServeTunnel = Callable[[str, PeerSocket, TunnelRequest], Awaitable[None]]


def _now_s() -> float:
    # anyio.current_time asks first which library runs, which takes five times as long.
    return asyncio.get_running_loop().time()


class Peers:
    """Owns all streams to peers: those out, used to send; those in, to hear.

    Parameters
    ----------
    host : str
        Name of this host.
    secret : bytes
        Secret that all daemons share; each side proves that it knows it.
    silence_s : float
        Silence after which a stream is closed: of a peer that does not
        acknowledge, or of one that neither sends nor closes.
    submit : callable
        Takes events for the core.
    incarnation : int
        Number of this host's start.
    clock : HybridClock, optional
        Stamps the time line's events; it travels with the messages. Without one
        messages go without stamps.
    serve_tunnel : callable, optional
        Takes a stream whose first message asks for a tunnel.
    """

    def __init__(
        self,
        host: str,
        secret: bytes,
        silence_s: float,
        submit: Submit,
        incarnation: int = 0,
        clock: HybridClock | None = None,
        serve_tunnel: ServeTunnel | None = None,
    ) -> None:
        self._host = host
        self._serve_tunnel = serve_tunnel
        self._handshake = Handshake(host, incarnation, secret)
        self._silence_s = silence_s
        self._submit = submit
        self._clock: Stamping = NoStamps() if clock is None else PeerClock(clock)
        self._tasks: TaskGroup | None = None
        self._addresses: dict[str, str] = {}
        self._links: dict[str, LinkOut] = {}
        self._failed_s: dict[str, float] = {}
        self._heard: dict[str, HeardHost] = {}
        self.bytes = PeerBytes()

    @property
    def open_streams(self) -> int:
        """Streams out that stand or are being opened."""
        return len(self._links)

    def know(self, tasks: TaskGroup, addresses: dict[str, str]) -> None:
        """Take the addresses of the peers; streams to others are closed."""
        if self._tasks is not tasks:
            tasks.start_soon(self._watch)
        self._tasks = tasks
        self._addresses = addresses
        for host in [host for host in self._links if host not in addresses]:
            self._links.pop(host).scope.cancel()
        for host in [host for host in self._heard if host not in addresses]:
            if not self._heard[host].streams:
                del self._heard[host]
        self._failed_s = {
            host: at_s for host, at_s in self._failed_s.items() if host in addresses
        }

    def send(self, host: str, message: Any) -> None:
        """Queue a message; it is dropped when the peer cannot be reached."""
        link = self._links.get(host) or self._open(host)
        if link is None:
            self.bytes.dropped_messages += 1
            return
        if not link.outbox.put(message):
            self.bytes.dropped_messages += 1

    def _open(self, host: str) -> LinkOut | None:
        if self._tasks is None or host not in self._addresses:
            return None
        failed_s = self._failed_s.get(host)
        if failed_s is not None and _now_s() - failed_s < RECONNECT_S:
            return None
        link = self._links[host] = LinkOut(host)
        self._tasks.start_soon(self._keep, link)
        return link

    async def _keep(self, link: LinkOut) -> None:
        with link.scope:
            while await self._try(link):
                # A stream that broke or went silent says nothing yet of the
                # peer: something between the two may have lost track of it. A
                # new one that stands clears the peer.
                await anyio.sleep(RECONNECT_S)

    async def _try(self, link: LinkOut) -> bool:
        """Use one stream to its end, and return whether to try another."""
        link.stands = False
        try:
            await self._connect(link)
        except STREAM_ERRORS:
            if link.stands:
                return True
            self._forget(link)
            self._failed_s[link.host] = _now_s()
            await self._submit(PeerDisconnected(link.host))
        return False

    def _forget(self, link: LinkOut) -> None:
        if self._links.get(link.host) is link:
            del self._links[link.host]

    async def _connect(self, link: LinkOut) -> None:
        ip, port = split_address(self._addresses.get(link.host, ""))
        with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
            stream = await connect_peer(ip, port)
        async with stream:
            with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
                await self._handshake.greet(stream, link.host)
            link.stands = True
            link.unanswered_since_s = None
            await self._submit(PeerConnected(link.host))
            await self._use(link, stream)

    async def _use(self, link: LinkOut, stream: PeerSocket) -> None:
        failures: list[Exception] = []
        async with anyio.create_task_group() as tasks:
            link.stream_scope = tasks.cancel_scope
            for work in (self._write, self._read_answers):
                tasks.start_soon(self._run_one, work, link, stream, tasks, failures)
        link.stream_scope = None
        if failures:
            raise failures[0]
        if self._is_unanswered(link, _now_s()):
            raise PeerError(f"{link.host} acknowledges nothing")

    @staticmethod
    async def _run_one(
        work: Callable[[LinkOut, PeerSocket], Awaitable[None]],
        link: LinkOut,
        stream: PeerSocket,
        tasks: TaskGroup,
        failures: list[Exception],
    ) -> None:
        try:
            await work(link, stream)
        except STREAM_ERRORS as error:
            failures.append(error)
        tasks.cancel_scope.cancel()

    async def _write(self, link: LinkOut, stream: PeerSocket) -> None:
        link.used_s = _now_s()
        outbox = link.outbox
        while True:
            await outbox.wait()
            link.used_s = _now_s()
            packed, stamped = b"", False
            while outbox and len(packed) < BATCH_BYTES:
                message = outbox.take()
                stamped = stamped or self._clock.is_wanted(message)
                packed += self._encode(message)
            if not packed:
                continue
            if stamped:
                packed = self._clock.pack() + packed
            if link.unanswered_since_s is None:
                link.unanswered_since_s = link.used_s
            self.bytes.sent_bytes += len(packed)
            await stream.send(packed)

    def _encode(self, message: Any) -> bytes:
        """Encode a message; one that cannot be encoded is dropped and counted."""
        try:
            return encode(message)
        except MessageError:
            self.bytes.unencodable_messages += 1
            return b""

    @staticmethod
    async def _read_answers(link: LinkOut, stream: PeerSocket) -> None:
        while True:
            await stream.receive(CHUNK_BYTES)
            link.unanswered_since_s = None

    def _is_unanswered(self, link: LinkOut, now_s: float) -> bool:
        # A half-open stream takes what is written into the kernel's buffer and
        # shows no error for minutes; that nothing is acknowledged shows it.
        since_s = link.unanswered_since_s
        return since_s is not None and now_s - since_s > self._silence_s

    async def _watch(self) -> None:
        """Look at all streams again and again until cancelled."""
        while True:
            await anyio.sleep(self._silence_s / LOOKS_A_SILENCE)
            now_s = _now_s()
            for link in list(self._links.values()):
                self._look_out(link, now_s)
            for heard in list(self._heard.values()):
                for each in list(heard.streams):
                    await self._look_in(each, now_s)

    def _look_out(self, link: LinkOut, now_s: float) -> None:
        if link.stream_scope is None:
            return
        if self._is_unanswered(link, now_s):
            link.stream_scope.cancel()
        elif now_s - link.used_s > IDLE_S:
            self._forget(link)
            link.scope.cancel()

    async def _look_in(self, each: StreamIn, now_s: float) -> None:
        if now_s - each.heard_s > IDLE_S + self._silence_s:
            each.scope.cancel()
        elif each.owes_answer and each.stream.takes_more:
            # A peer that takes nothing must not keep the others from theirs.
            each.owes_answer = False
            try:
                await each.stream.send(ACKNOWLEDGEMENT)
            except STREAM_ERRORS:
                each.scope.cancel()

    async def serve(self, stream: PeerSocket) -> None:
        """Hear one peer until its stream ends."""
        async with stream:
            with contextlib.suppress(*STREAM_ERRORS):
                with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
                    greeting = await self._handshake.welcome(stream)
                stream.on_settled()
                heard = self._admit(greeting.host, greeting.incarnation)
                each = StreamIn(stream, _now_s())
                heard.streams.append(each)
                asked: TunnelRequest | None = None
                try:
                    with each.scope:
                        asked = await self._hear(greeting.host, each)
                finally:
                    heard.streams.remove(each)
                if asked is not None and self._serve_tunnel is not None:
                    await self._serve_tunnel(greeting.host, stream, asked)

    def _admit(self, host: str, incarnation: int) -> HeardHost:
        """Let a host's newest start speak, and no older one.

        After a restart a stream of the old process may still hold messages;
        taken after those of the new one, they would undo what it said.
        """
        heard = self._heard.get(host)
        if heard is None or incarnation > heard.incarnation:
            for each in heard.streams if heard else []:
                each.scope.cancel()
            heard = self._heard[host] = HeardHost(incarnation)
        if incarnation < heard.incarnation:
            raise PeerError(f"{host} was started anew since")
        return heard

    async def _hear(self, host: str, each: StreamIn) -> TunnelRequest:
        """Take a peer's messages, and return the one that asks for a tunnel."""
        reader = unpacker()
        while True:
            chunk = await each.stream.receive(CHUNK_BYTES)
            each.heard_s = _now_s()
            self.bytes.heard_bytes += len(chunk)
            try:
                reader.feed(chunk)
                for value in reader:
                    if self._clock.take(value):
                        continue
                    try:
                        message = decode(value)
                    except UnknownMessageError:
                        # A host that was upgraded first says more than this one knows.
                        self.bytes.unknown_messages += 1
                        continue
                    if isinstance(message, TunnelRequest):
                        return message
                    await self._submit(PeerMessage(host, message))
            except (MessageError, msgpack.UnpackException, ValueError) as error:
                raise PeerError(f"{host} sent no message of ours") from error
            each.owes_answer = True
