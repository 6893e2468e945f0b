"""Connections to HTTP/1.1 servers: opened, kept while they are idle, lent."""

from abc import ABC, abstractmethod
from collections import defaultdict, deque
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio

from knapweedbridge_core.addresses import split_address
from knapweedbridge_daemon.serving import byte_stream
from knapweedbridge_daemon.serving.byte_stream import ByteStream
from knapweedbridge_daemon.serving.client_connection import (
    ClientConnection,
    ConnectionBrokenError,
    NotSentError,
)
from knapweedbridge_daemon.serving.client_streams import ClientStream
from knapweedbridge_daemon.serving.clock import loop_time_s

__all__ = [
    "ConnectionBrokenError",
    "ClientConnection",
    "ConnectionPool",
    "Connector",
    "Destination",
    "DirectConnector",
    "NotSentError",
]

CONNECT_TIMEOUT_S = 0.6
"""Bound on a new connection: way and handshake take a few ms, and a lost opening
packet is sent again after a second, when another endpoint has long answered."""


@dataclass(slots=True, frozen=True)
class Destination:
    """Where a connection leads.

    Parameters
    ----------
    address : str
        IP number and port.
    endpoint : str
        The endpoint that listens there; empty for other servers.
    is_direct : bool
        Whether no other host may carry the connection.
    """

    address: str
    endpoint: str = ""
    is_direct: bool = False


class Connector(ABC):
    """Opens the connections of a pool."""

    @abstractmethod
    async def connect(self, destination: Destination) -> ClientStream:
        """Open a connection; raises NotSentError if none can be made."""

    def may_reuse_tunnel(self, forwarder: str, address: str) -> bool:
        """Return whether a connection that another host carries is used again."""
        return False


class DirectConnector(Connector):
    """Opens connections of this host alone."""

    async def connect(self, destination: Destination) -> ByteStream:
        """See `Connector.connect`."""
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                return await byte_stream.connect_stream(
                    *split_address(destination.address)
                )
        except (OSError, TimeoutError) as error:
            raise NotSentError(f"{destination.address}: {error!r}") from error


class ConnectionPool:
    """Keeps idle connections by address.

    Attributes
    ----------
    connector : Connector
        Opens new ones.
    """

    def __init__(self) -> None:
        self._idle: dict[str, deque[ClientConnection]] = defaultdict(deque)
        self.connector: Connector = DirectConnector()
        self.opened = 0
        self.reused = 0

    @asynccontextmanager
    async def connection(
        self, destination: Destination
    ) -> AsyncGenerator[ClientConnection, None]:
        """Lend a connection; it is kept if its last answer ended cleanly.

        Raises
        ------
        NotSentError
            If none can be made.
        """
        connection = await self._take(destination)
        if connection is None:
            stream = await self.connector.connect(destination)
            self.opened += 1
            connection = ClientConnection(stream, destination.address)
        else:
            self.reused += 1
        kept = False
        try:
            yield connection
            kept = connection.end_exchange(loop_time_s())
        finally:
            if kept:
                self._idle[destination.address].append(connection)
            else:
                await connection.aclose()

    def adopt(self, stream: ClientStream, address: str) -> None:
        """Keep a connection on which nothing was sent yet."""
        self.opened += 1
        connection = ClientConnection(stream, address)
        connection.note_unused(loop_time_s())
        self._idle[address].append(connection)

    async def _take(self, destination: Destination) -> ClientConnection | None:
        idle = self._idle[destination.address]
        for connection in reversed(list(idle)):
            if destination.is_direct and connection.forwarder:
                continue
            idle.remove(connection)
            if self._is_usable(connection):
                return connection
            await connection.aclose()
        return None

    def _is_usable(self, connection: ClientConnection) -> bool:
        is_fresh = connection.idle_until_s > loop_time_s()
        return is_fresh and self._is_carried(connection) and connection.is_silent()

    def _is_carried(self, connection: ClientConnection) -> bool:
        forwarder = connection.forwarder
        if not forwarder:
            return True
        return self.connector.may_reuse_tunnel(forwarder, connection.address)

    async def close_idle(self, wanted: set[str] | None = None) -> None:
        """Close connections whose idle life is over, or that lead elsewhere."""
        now_s = loop_time_s()
        over: list[ClientConnection] = []
        for address, connections in list(self._idle.items()):
            is_wanted = wanted is None or address in wanted
            kept = [
                each
                for each in connections
                if is_wanted and each.idle_until_s > now_s and self._is_carried(each)
            ]
            over += [each for each in connections if each not in kept]
            self._idle[address] = deque(kept)
            if not kept:
                del self._idle[address]
        # Closed last: while one closes, another task may take a connection.
        for connection in over:
            await connection.aclose()

    async def close_idle_to(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            await connection.aclose()

    async def aclose(self) -> None:
        """Close all idle connections."""
        await self.close_idle(set())
