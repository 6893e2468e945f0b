"""Connections to endpoints that other hosts carry for this one."""

from contextlib import AsyncExitStack, closing

import anyio
import msgpack

from knapweedbridge_core.addresses import split_address
from knapweedbridge_core.codec import decode, encode, unpacker
from knapweedbridge_core.errors import MessageError
from knapweedbridge_core.serving import Forwarders
from knapweedbridge_core.serving.tunnel_messages import (
    TunnelOpened,
    TunnelRefused,
    TunnelRequest,
)
from knapweedbridge_daemon.errors import PeerError
from knapweedbridge_daemon.handshake import Handshake
from knapweedbridge_daemon.peer_sockets import PeerSocket, connect_peer
from knapweedbridge_daemon.peers import STREAM_ERRORS
from knapweedbridge_daemon.serving.byte_stream import set_socket_options
from knapweedbridge_daemon.serving.client_streams import ClientStream
from knapweedbridge_daemon.serving.clock import loop_time_s
from knapweedbridge_daemon.serving.http_client import Destination, NotSentError
from knapweedbridge_daemon.serving.hub import Hub

ASK_S = 0.5
"""How long a forwarder's answer is awaited; it tries an endpoint for 0.3 s."""

ASK_ALL_S = 0.7
"""How long forwarders are asked in all."""

STAGGER_S = 0.02
"""Pause before the next forwarder is asked beside those that have not answered; one
that has links answers in some milliseconds."""

MOST_ASKED = 8
"""Forwarders that are asked for one connection."""

UNREACHABLE_PROOF = 2
"""Hosts with links that must fail to reach an endpoint for it to count as lost."""

OF_ONE_ENDPOINT = frozenset({"unreachable", "unsure", "cut", "unknown"})
"""Refusals that say nothing of other endpoints."""

CHUNK_BYTES = 65536

END = msgpack.packb(None)
"""Follows the last bytes of an endpoint that ended its connection in order. Without it
the connection broke: a forwarder that is killed ends its own in order as well."""


class TunnelStream(ClientStream):
    """A connection to an endpoint that another host carries.

    Parameters
    ----------
    stream : PeerSocket
        The stream to that host, which this owns.
    forwarder : str
        Its name.
    """

    def __init__(self, stream: PeerSocket, forwarder: str) -> None:
        self.forwarder = forwarder
        self._stream = stream
        self._reader = unpacker()
        self._has_ended = False

    @property
    def has_news(self) -> bool:
        """See `ClientStream.has_news`."""
        return self._has_ended or self._stream.has_news

    def fileno(self) -> int:
        """See `ClientStream.fileno`."""
        return int(self._stream.raw.fileno())

    async def ask(self, destination: Destination) -> TunnelOpened | TunnelRefused:
        """Ask for a connection to an endpoint; raises PeerError or stream errors."""
        asked = TunnelRequest(destination.endpoint, destination.address)
        await self._stream.send(encode(asked))
        try:
            while True:
                for value in self._reader:
                    return self._read_answer(value)
                self._reader.feed(await self._stream.receive(CHUNK_BYTES))
        except (MessageError, msgpack.UnpackException, ValueError) as error:
            raise PeerError(f"{self.forwarder} gave no answer of ours") from error

    @staticmethod
    def _read_answer(value: object) -> TunnelOpened | TunnelRefused:
        answer = decode(value)
        if not isinstance(answer, TunnelOpened | TunnelRefused):
            raise MessageError(f"no answer to a question for a tunnel: {answer!r:.100}")
        return answer

    async def receive(self) -> bytes:
        """See `ClientStream.receive`."""
        while not self._has_ended:
            found = self._read()
            if found:
                return found
            if self._has_ended:
                break
            try:
                self._reader.feed(await self._stream.receive(CHUNK_BYTES))
            except STREAM_ERRORS as error:
                raise ConnectionError(f"by {self.forwarder}: {error!r}") from error
        return b""

    def _read(self) -> bytes:
        parts: list[bytes] = []
        try:
            for value in self._reader:
                if not isinstance(value, bytes):
                    self._has_ended = True
                    break
                parts.append(value)
        except (msgpack.UnpackException, ValueError) as error:
            raise ConnectionError(f"by {self.forwarder}: {error!r}") from error
        return b"".join(parts)

    async def send(self, data: bytes) -> None:
        """See `ClientStream.send`."""
        try:
            await self._stream.send(data)
        except STREAM_ERRORS as error:
            raise ConnectionError(f"by {self.forwarder}: {error!r}") from error

    def close(self) -> None:
        """See `ClientStream.close`."""
        self._stream.abort()


class TunnelRace:
    """Questions to several hosts, of which the first tunnel is used.

    Attributes
    ----------
    asked : int
        Hosts that have not answered yet.
    unreachable : int
        Hosts that have links and do not reach the endpoint.
    stream : TunnelStream or None
        The first tunnel.
    """

    __slots__ = ("_changed", "asked", "stream", "unreachable")

    def __init__(self) -> None:
        self.asked = 0
        self.unreachable = 0
        self.stream: TunnelStream | None = None
        self._changed = anyio.Event()

    @property
    def is_decided(self) -> bool:
        """Whether there is a tunnel, or proof that there can be none."""
        return self.stream is not None or self.unreachable >= UNREACHABLE_PROOF

    async def wait(self, longest_s: float) -> None:
        """Wait for an answer, or for some seconds."""
        with anyio.move_on_after(longest_s):
            await self._changed.wait()

    def _note_answer(self) -> None:
        self.asked -= 1
        self._changed.set()
        self._changed = anyio.Event()

    def opened(self, stream: TunnelStream) -> None:
        """Take a tunnel; only the first is kept."""
        if self.stream is None:
            self.stream = stream
        else:
            stream.close()
        self._note_answer()

    def failed(self, reason: str) -> None:
        """Record that a host opened none."""
        self.unreachable += reason == "unreachable"
        self._note_answer()

    def take(self) -> TunnelStream:
        """Return the tunnel, which the taker closes; there must be one."""
        assert self.stream is not None
        stream, self.stream = self.stream, None
        return stream

    def close(self) -> None:
        """Close a tunnel that nobody took."""
        if self.stream is not None:
            self.stream.close()


class Tunnels:
    """Has other hosts carry connections to endpoints.

    Parameters
    ----------
    hub : Hub
        Beliefs, which name the other daemons.
    """

    def __init__(self, hub: Hub) -> None:
        self._hub = hub
        self._forwarders = Forwarders(hub.identity.name)
        self._known_of = -1

    @property
    def forwarders(self) -> Forwarders:
        """The hosts that are asked."""
        cluster = self._hub.cluster
        if self._known_of != cluster.owner_changes:
            self._known_of = cluster.owner_changes
            self._forwarders.set_daemons(
                cluster.daemons.values(), cluster.without_links
            )
        return self._forwarders

    async def open(self, destination: Destination) -> TunnelStream:
        """Open a connection to an endpoint through another host.

        Hosts are asked one after another, without waiting for those that are slow: they
        may be trying links that are lost as well.

        Raises
        ------
        NotSentError
            If none can be had. ``is_lost``: hosts that have links do not reach the
            endpoint either, or there are no other hosts.
        """
        race = TunnelRace()
        names = self.forwarders.in_order(loop_time_s())[:MOST_ASKED]
        with closing(race), anyio.move_on_after(ASK_ALL_S):
            async with anyio.create_task_group() as tasks:
                for name in names:
                    race.asked += 1
                    tasks.start_soon(self._run, name, destination, race)
                    await race.wait(STAGGER_S)
                    if race.is_decided:
                        break
                while race.asked and not race.is_decided:
                    await race.wait(ASK_ALL_S)
                tasks.cancel_scope.cancel()
            if race.stream is not None:
                return race.take()
        others = len(self._hub.cluster.daemons) - 1
        is_lost = race.unreachable >= min(UNREACHABLE_PROOF, others)
        raise NotSentError(f"{destination.address}: no host reaches it", is_lost)

    async def _run(self, name: str, destination: Destination, race: TunnelRace) -> None:
        """Ask one host for a tunnel, beside others."""
        try:
            with anyio.fail_after(ASK_S):
                stream, answer = await self._dial(name, destination)
        except STREAM_ERRORS as error:
            self._note_refused(name, destination, repr(error))
            race.failed("")
            return
        if isinstance(answer, TunnelOpened):
            self._forwarders.record_opened(name, answer.tunnels)
            self._hub.metrics.count("tunnels", "opened")
            race.opened(stream)
            return
        stream.close()
        if answer.reason not in OF_ONE_ENDPOINT:
            self._note_refused(name, destination, answer.reason)
        race.failed(answer.reason)

    def _note_refused(self, name: str, destination: Destination, cause: str) -> None:
        self._forwarders.record_refused(name, loop_time_s())
        self._hub.metrics.count("tunnels", "refused")
        self._hub.log.info(
            "tunnel.refused",
            forwarder=name,
            endpoint=destination.endpoint,
            cause=cause,
        )

    async def _dial(
        self, name: str, destination: Destination
    ) -> tuple[TunnelStream, TunnelOpened | TunnelRefused]:
        identity, cluster = self._hub.identity, self._hub.cluster
        record = cluster.daemons.get(name)
        if record is None:
            raise PeerError(f"{name} is not listed")
        async with AsyncExitStack() as stack:
            made = await connect_peer(*split_address(record.address))
            stack.callback(made.abort)
            set_socket_options(made.raw)
            handshake = Handshake(identity.name, identity.incarnation, cluster.secret)
            await handshake.greet(made, name)
            stream = TunnelStream(made, name)
            answer = await stream.ask(destination)
            stack.pop_all()
            return stream, answer
