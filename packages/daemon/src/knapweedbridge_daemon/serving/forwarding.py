"""Forwards connections to endpoints for hosts that have lost their links."""

import contextlib
import random

import anyio
import msgpack

from knapweedbridge_core.addresses import split_address
from knapweedbridge_core.codec import encode
from knapweedbridge_core.serving.tunnel_messages import (
    TunnelOpened,
    TunnelRefused,
    TunnelRequest,
)
from knapweedbridge_daemon.peer_sockets import PeerSocket
from knapweedbridge_daemon.peers import STREAM_ERRORS
from knapweedbridge_daemon.serving import byte_stream
from knapweedbridge_daemon.serving.byte_stream import ByteStream, set_socket_options
from knapweedbridge_daemon.serving.clock import loop_time_s
from knapweedbridge_daemon.serving.hub import Hub
from knapweedbridge_daemon.serving.tunnels import CHUNK_BYTES, END

CONNECT_S = 0.3
"""Timeout of a connection to an endpoint. The requesting host waits for it while its
own attempt goes on."""

MAX_PROBES = 3
PROBE_TIMEOUT_S = 0.1
"""Most other endpoints that are probed to find out whether this host has links, and the
timeout of each."""

CLOSE_TIMEOUT_S = 2.0
"""Time in which the requesting host must read the last bytes of a tunnel."""


class TunnelForwarder:
    """The tunnels that this host forwards.

    Parameters
    ----------
    hub : Hub
        The listed endpoints, and the paths of this host.
    max_tunnels : int
        Most tunnels that are forwarded at once.

    Attributes
    ----------
    tunnels : int
        Tunnels that are open.
    """

    def __init__(self, hub: Hub, max_tunnels: int) -> None:
        self._hub = hub
        self._max_tunnels = max_tunnels
        self.tunnels = 0

    async def serve(
        self, host: str, stream: PeerSocket, request: TunnelRequest
    ) -> None:
        """Handle a host's request for a tunnel, and forward its bytes until it ends."""
        reason = self._refusal(request)
        if reason:
            await self._refuse(host, stream, request, reason)
            return
        self.tunnels += 1
        try:
            await self._connect_and_forward(host, stream, request)
        finally:
            self.tunnels -= 1

    def _refusal(self, request: TunnelRequest) -> str:
        hub = self._hub
        endpoint = hub.cluster.fleet.endpoints.get(request.endpoint)
        if hub.draining:
            return "draining"
        if hub.paths.has_lost_links:
            return "no_links"
        if self.tunnels >= self._max_tunnels:
            return "busy"
        if endpoint is None or endpoint.record.address != request.address:
            return "unknown"
        return "cut" if hub.paths.is_cut(request.address) else ""

    async def _refuse(
        self, host: str, stream: PeerSocket, request: TunnelRequest, reason: str
    ) -> None:
        self._hub.metrics.count("tunnels_asked", reason)
        self._hub.log.info(
            "tunnel.not_carried", host=host, endpoint=request.endpoint, reason=reason
        )
        await stream.send(encode(TunnelRefused(reason)))
        await self._await_close(stream)

    async def _connect_and_forward(
        self, host: str, stream: PeerSocket, request: TunnelRequest
    ) -> None:
        try:
            with anyio.fail_after(CONNECT_S):
                upstream = await byte_stream.connect_stream(
                    *split_address(request.address)
                )
        except (OSError, TimeoutError):
            is_linked = await self._is_linked(request.address)
            reason = "unreachable" if is_linked else "unsure"
            await self._refuse(host, stream, request, reason)
            return
        with contextlib.closing(upstream):
            set_socket_options(stream.raw)
            self._hub.paths.record_direct(request.address, loop_time_s())
            self._hub.metrics.count("tunnels_asked", "carried")
            await stream.send(encode(TunnelOpened(self.tunnels)))
            await self._forward(stream, upstream)

    async def _is_linked(self, unreachable: str) -> bool:
        """Return whether this host reaches an endpoint other than the unreachable one.

        A host without traffic has had no recent response, so it probes other endpoints.
        """
        paths, fleet = self._hub.paths, self._hub.cluster.fleet
        if not paths.is_linked(loop_time_s()):
            others = [
                each.record.address
                for each in fleet.engines()
                if each.record.address != unreachable
                and each.suspect_until_s <= loop_time_s()
            ]
            for address in random.sample(others, min(MAX_PROBES, len(others))):
                if not paths.is_linked(loop_time_s()):
                    await self._probe(address)
        return paths.is_linked(loop_time_s())

    async def _probe(self, address: str) -> None:
        """Open a connection to an endpoint, and add it to the pool."""
        with contextlib.suppress(OSError, TimeoutError):
            with anyio.fail_after(PROBE_TIMEOUT_S):
                stream = await byte_stream.connect_stream(*split_address(address))
            self._hub.paths.record_direct(address, loop_time_s())
            self._hub.pool.adopt(stream, address)

    async def _forward(self, stream: PeerSocket, upstream: ByteStream) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_upstream, stream, upstream, tasks.cancel_scope)
            if await self._send_downstream(stream, upstream):
                await self._await_close(stream, tasks.cancel_scope)
            tasks.cancel_scope.cancel()

    @staticmethod
    async def _send_upstream(
        stream: PeerSocket, upstream: ByteStream, scope: anyio.CancelScope
    ) -> None:
        """Send bytes to the endpoint until the requesting host closes the stream."""
        with contextlib.suppress(*STREAM_ERRORS):
            while True:
                await upstream.send(await stream.receive(CHUNK_BYTES))
        scope.cancel()

    @staticmethod
    async def _send_downstream(stream: PeerSocket, upstream: ByteStream) -> bool:
        """Send bytes downstream; return whether the endpoint closed in order."""
        with contextlib.suppress(*STREAM_ERRORS):
            while True:
                data = await upstream.receive()
                await stream.send(msgpack.packb(data) if data else END)
                if not data:
                    return True
        return False

    @staticmethod
    async def _await_close(
        stream: PeerSocket, reader_scope: anyio.CancelScope | None = None
    ) -> None:
        """Give the requesting host time to read the last bytes."""
        await stream.send_eof()
        with anyio.move_on_after(CLOSE_TIMEOUT_S):
            if reader_scope is not None:
                # The task that reads the stream cancels this one when it closes.
                await anyio.sleep_forever()
            with contextlib.suppress(*STREAM_ERRORS):
                while True:
                    await stream.receive(CHUNK_BYTES)
