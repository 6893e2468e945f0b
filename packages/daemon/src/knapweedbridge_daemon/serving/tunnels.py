"""Connections to endpoints that other hosts forward for this one."""

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

REQUEST_TIMEOUT_S = 0.5
"""Timeout of a request to a forwarder, which tries to connect for 0.3 s."""

TOTAL_TIMEOUT_S = 0.7
"""Timeout of the requests to all forwarders together."""

STAGGER_S = 0.02
"""Delay before the next forwarder gets a request while others have not responded. One
that has links responds within milliseconds."""

MOST_ASKED = 8
"""Most forwarders that get a request for one connection."""

UNREACHABLE_PROOF = 2
"""Number of hosts with links that must fail to reach an endpoint before it counts as
lost."""

ENDPOINT_REASONS = frozenset({"unreachable", "unsure", "cut", "unknown"})
"""Reasons of refusals that concern one endpoint, not the forwarder."""

CHUNK_BYTES = 65536

END = msgpack.packb(None)
"""Follows the last bytes of an endpoint that closed its connection in order. A stream
that ends without it is broken: a forwarder that is killed closes its stream in order as
well."""


class TunnelStream(ClientStream):
    """A connection to an endpoint that another host forwards.

    Parameters
    ----------
    stream : PeerSocket
        The stream to the forwarder. The tunnel closes it.
    forwarder : str
        The name of the forwarding host.
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
        """Request a connection to an endpoint.

        Raises
        ------
        PeerError
            If the response can't be read. Errors of the stream are raised as they are.
        """
        request = TunnelRequest(destination.endpoint, destination.address)
        await self._stream.send(encode(request))
        try:
            while True:
                for value in self._reader:
                    return self._decode_response(value)
                self._reader.feed(await self._stream.receive(CHUNK_BYTES))
        except (MessageError, msgpack.UnpackException, ValueError) as error:
            raise PeerError(f"{self.forwarder} sent an unreadable response") from error

    @staticmethod
    def _decode_response(value: object) -> TunnelOpened | TunnelRefused:
        response = decode(value)
        if not isinstance(response, TunnelOpened | TunnelRefused):
            raise MessageError(
                f"unexpected response to a tunnel request: {response!r:.100}"
            )
        return response

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
                raise ConnectionError(
                    f"tunnel through {self.forwarder}: {error!r}"
                ) from error
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
            raise ConnectionError(
                f"tunnel through {self.forwarder}: {error!r}"
            ) from error
        return b"".join(parts)

    async def send(self, data: bytes) -> None:
        """See `ClientStream.send`."""
        try:
            await self._stream.send(data)
        except STREAM_ERRORS as error:
            raise ConnectionError(
                f"tunnel through {self.forwarder}: {error!r}"
            ) from error

    def close(self) -> None:
        """See `ClientStream.close`."""
        self._stream.abort()


class TunnelRace:
    """Requests to several hosts, of which the first opened tunnel is used.

    Attributes
    ----------
    pending : int
        Hosts that have not responded yet.
    unreachable : int
        Hosts that have links but do not reach the endpoint.
    stream : TunnelStream or None
        The first tunnel that was opened.
    """

    __slots__ = ("_changed", "pending", "stream", "unreachable")

    def __init__(self) -> None:
        self.pending = 0
        self.unreachable = 0
        self.stream: TunnelStream | None = None
        self._changed = anyio.Event()

    @property
    def is_decided(self) -> bool:
        """Whether there is a tunnel, or proof that there can be none."""
        return self.stream is not None or self.unreachable >= UNREACHABLE_PROOF

    async def wait(self, timeout_s: float) -> None:
        """Wait for a response, for some seconds at most."""
        with anyio.move_on_after(timeout_s):
            await self._changed.wait()

    def _record_response(self) -> None:
        self.pending -= 1
        self._changed.set()
        self._changed = anyio.Event()

    def record_opened(self, stream: TunnelStream) -> None:
        """Record an opened tunnel; close it unless it is the first."""
        if self.stream is None:
            self.stream = stream
        else:
            stream.close()
        self._record_response()

    def record_failed(self, reason: str) -> None:
        """Record that a host opened no tunnel."""
        self.unreachable += reason == "unreachable"
        self._record_response()

    def take(self) -> TunnelStream:
        """Return the tunnel, which there must be; the caller must close it."""
        assert self.stream is not None
        stream, self.stream = self.stream, None
        return stream

    def close(self) -> None:
        """Close a tunnel that was not taken."""
        if self.stream is not None:
            self.stream.close()


class Tunnels:
    """Opens connections to endpoints through other hosts.

    Parameters
    ----------
    hub : Hub
        The state of the cluster, which lists the other daemons.
    """

    def __init__(self, hub: Hub) -> None:
        self._hub = hub
        self._forwarders = Forwarders(hub.identity.name)
        self._applied_owner_changes = -1

    @property
    def forwarders(self) -> Forwarders:
        """The hosts that may forward connections."""
        cluster = self._hub.cluster
        if self._applied_owner_changes != cluster.owner_changes:
            self._applied_owner_changes = cluster.owner_changes
            self._forwarders.set_daemons(
                cluster.daemons.values(), cluster.without_links
            )
        return self._forwarders

    async def open(self, destination: Destination) -> TunnelStream:
        """Open a connection to an endpoint through another host.

        Hosts get requests one after another, without waiting for slow ones, whose own
        links may be lost.

        Raises
        ------
        NotSentError
            If no host opens one. ``is_lost`` is set if hosts that have links do not
            reach the endpoint either, or if there are no other hosts.
        """
        race = TunnelRace()
        names = self.forwarders.in_order(loop_time_s())[:MOST_ASKED]
        with closing(race), anyio.move_on_after(TOTAL_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                for name in names:
                    race.pending += 1
                    tasks.start_soon(self._run, name, destination, race)
                    await race.wait(STAGGER_S)
                    if race.is_decided:
                        break
                while race.pending and not race.is_decided:
                    await race.wait(TOTAL_TIMEOUT_S)
                tasks.cancel_scope.cancel()
            if race.stream is not None:
                return race.take()
        others = len(self._hub.cluster.daemons) - 1
        is_lost = race.unreachable >= min(UNREACHABLE_PROOF, others)
        raise NotSentError(f"{destination.address}: no host reaches it", is_lost)

    async def _run(self, name: str, destination: Destination, race: TunnelRace) -> None:
        """Request a tunnel from one host, concurrently with others."""
        try:
            with anyio.fail_after(REQUEST_TIMEOUT_S):
                stream, response = await self._dial(name, destination)
        except STREAM_ERRORS as error:
            self._record_refusal(name, destination, repr(error))
            race.record_failed("")
            return
        if isinstance(response, TunnelOpened):
            self._forwarders.record_opened(name, response.tunnels)
            self._hub.metrics.count("tunnels", "opened")
            race.record_opened(stream)
            return
        stream.close()
        if response.reason not in ENDPOINT_REASONS:
            self._record_refusal(name, destination, response.reason)
        race.record_failed(response.reason)

    def _record_refusal(self, name: str, destination: Destination, cause: str) -> None:
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
            socket = await connect_peer(*split_address(record.address))
            stack.callback(socket.abort)
            set_socket_options(socket.raw)
            handshake = Handshake(identity.name, identity.incarnation, cluster.secret)
            await handshake.greet(socket, name)
            stream = TunnelStream(socket, name)
            response = await stream.ask(destination)
            stack.pop_all()
            return stream, response
