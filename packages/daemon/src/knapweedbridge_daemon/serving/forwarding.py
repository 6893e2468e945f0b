"""Carries connections to endpoints for hosts that have lost their links."""

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
"""How long an endpoint is tried: the host that asks waits beside its own attempt."""

MOST_TRIED = 3
TRY_S = 0.1
"""Other endpoints that are tried, and for how long each, to find out whether this host
has links."""

CLOSE_S = 2.0
"""How long the asking host may take to read the last bytes of a tunnel."""


class TunnelForwarder:
    """The tunnels that this host carries.

    Parameters
    ----------
    hub : Hub
        Beliefs, which say what may be reached, and the paths of this host.
    most : int
        Tunnels that are carried at once.

    Attributes
    ----------
    tunnels : int
        Those that are carried now.
    """

    def __init__(self, hub: Hub, most: int) -> None:
        self._hub = hub
        self._most = most
        self.tunnels = 0

    async def serve(self, host: str, stream: PeerSocket, asked: TunnelRequest) -> None:
        """Answer a host's question for a tunnel, and carry it to its end."""
        reason = self._refusal(asked)
        if reason:
            await self._refuse(host, stream, asked, reason)
            return
        self.tunnels += 1
        try:
            await self._connect_and_carry(host, stream, asked)
        finally:
            self.tunnels -= 1

    def _refusal(self, asked: TunnelRequest) -> str:
        hub = self._hub
        endpoint = hub.cluster.fleet.endpoints.get(asked.endpoint)
        if hub.draining:
            return "draining"
        if hub.paths.has_lost_links:
            return "no_links"
        if self.tunnels >= self._most:
            return "busy"
        if endpoint is None or endpoint.record.address != asked.address:
            return "unknown"
        return "cut" if hub.paths.is_cut(asked.address) else ""

    async def _refuse(
        self, host: str, stream: PeerSocket, asked: TunnelRequest, reason: str
    ) -> None:
        self._hub.metrics.count("tunnels_asked", reason)
        self._hub.log.info(
            "tunnel.not_carried", host=host, endpoint=asked.endpoint, reason=reason
        )
        await stream.send(encode(TunnelRefused(reason)))
        await self._await_close(stream)

    async def _connect_and_carry(
        self, host: str, stream: PeerSocket, asked: TunnelRequest
    ) -> None:
        try:
            with anyio.fail_after(CONNECT_S):
                upstream = await byte_stream.connect_stream(
                    *split_address(asked.address)
                )
        except (OSError, TimeoutError):
            is_linked = await self._is_linked(asked.address)
            reason = "unreachable" if is_linked else "unsure"
            await self._refuse(host, stream, asked, reason)
            return
        with contextlib.closing(upstream):
            set_socket_options(stream.raw)
            self._hub.paths.record_direct(asked.address, loop_time_s())
            self._hub.metrics.count("tunnels_asked", "carried")
            await stream.send(encode(TunnelOpened(self.tunnels)))
            await self._carry(stream, upstream)

    async def _is_linked(self, missed: str) -> bool:
        """Return whether this host reaches an endpoint, other than one that it missed.

        A host without traffic has had no answer of late; it tries another endpoint.
        """
        paths, fleet = self._hub.paths, self._hub.cluster.fleet
        if not paths.is_linked(loop_time_s()):
            others = [
                each.record.address
                for each in fleet.engines()
                if each.record.address != missed
                and each.suspect_until_s <= loop_time_s()
            ]
            for address in random.sample(others, min(MOST_TRIED, len(others))):
                if not paths.is_linked(loop_time_s()):
                    await self._try(address)
        return paths.is_linked(loop_time_s())

    async def _try(self, address: str) -> None:
        """Open a connection to an endpoint, and keep it for calls."""
        with contextlib.suppress(OSError, TimeoutError):
            with anyio.fail_after(TRY_S):
                stream = await byte_stream.connect_stream(*split_address(address))
            self._hub.paths.record_direct(address, loop_time_s())
            self._hub.pool.adopt(stream, address)

    async def _carry(self, stream: PeerSocket, upstream: ByteStream) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._carry_up, stream, upstream, tasks.cancel_scope)
            if await self._carry_down(stream, upstream):
                await self._await_close(stream, tasks.cancel_scope)
            tasks.cancel_scope.cancel()

    @staticmethod
    async def _carry_up(
        stream: PeerSocket, upstream: ByteStream, scope: anyio.CancelScope
    ) -> None:
        """Carry bytes to the endpoint until the asking host closes."""
        with contextlib.suppress(*STREAM_ERRORS):
            while True:
                await upstream.send(await stream.receive(CHUNK_BYTES))
        scope.cancel()

    @staticmethod
    async def _carry_down(stream: PeerSocket, upstream: ByteStream) -> bool:
        """Carry bytes from the endpoint; return whether it ended in order."""
        with contextlib.suppress(*STREAM_ERRORS):
            while True:
                data = await upstream.receive()
                await stream.send(msgpack.packb(data) if data else END)
                if not data:
                    return True
        return False

    @staticmethod
    async def _await_close(
        stream: PeerSocket, carried_by: anyio.CancelScope | None = None
    ) -> None:
        """Give the asking host time to read what was written last."""
        await stream.send_eof()
        with anyio.move_on_after(CLOSE_S):
            if carried_by is not None:
                # The task that reads the stream ends this one when it closes.
                await anyio.sleep_forever()
            with contextlib.suppress(*STREAM_ERRORS):
                while True:
                    await stream.receive(CHUNK_BYTES)
