"""Connection pool for HTTP/1.1 servers."""

from abc import ABC, abstractmethod
from collections import defaultdict, deque
from collections.abc import AsyncGenerator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio

from knapweedbridge_core.addresses import split_address
from knapweedbridge_core.serving import NamedResponses, ResponseAttribution
from knapweedbridge_daemon.serving import byte_stream
from knapweedbridge_daemon.serving.byte_stream import ByteStream
from knapweedbridge_daemon.serving.client_connection import (
    ClientConnection,
    ConnectionBrokenError,
    NotSentError,
    RequestIdentity,
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
    "RequestIdentity",
]

CONNECT_TIMEOUT_S = 0.6
"""Timeout of a new connection. Round trip and handshake take a few ms, and a lost SYN
is sent again after a second, by which time another endpoint would have responded."""


@dataclass(slots=True, frozen=True)
class Destination:
    """Server that a connection leads to.

    Parameters
    ----------
    address : str
        IP address and port.
    endpoint : str
        Endpoint that listens there; empty for other servers.
    is_direct : bool
        Whether the connection must not be tunnelled through another host.
    """

    address: str
    endpoint: str = ""
    is_direct: bool = False


class Connector(ABC):
    """Opens connections for a pool."""

    @abstractmethod
    async def connect(self, destination: Destination) -> ClientStream:
        """Open a connection.

        Raises
        ------
        NotSentError
            If no connection can be established.
        """

    def may_reuse_tunnel(self, forwarder: str, address: str) -> bool:
        """Return whether a connection tunnelled through a host may be reused."""
        return False


class DirectConnector(Connector):
    """Opens connections directly from this host."""

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
    """Pool of idle connections by address.

    Parameters
    ----------
    make_attribution : callable
        Returns how responses on a new connection are attributed to its requests.

    Attributes
    ----------
    connector : Connector
        Opens new connections.
    limit : int
        Most open connections; 0: no limit.
    opened, reused : int
        How many connections were opened, and how often an idle one was reused.
    """

    def __init__(
        self, make_attribution: Callable[[], ResponseAttribution] = NamedResponses
    ) -> None:
        self._make_attribution = make_attribution
        self._idle: dict[str, deque[ClientConnection]] = defaultdict(deque)
        self.connector: Connector = DirectConnector()
        self.limit = 0
        self._open = 0
        self._waiting: dict[anyio.Event, None] = {}
        self.opened = 0
        self.reused = 0

    @asynccontextmanager
    async def connection(
        self, destination: Destination, request_id: str = ""
    ) -> AsyncGenerator[ClientConnection, None]:
        """Lend a connection; it returns to the pool if its last response ended cleanly.

        Parameters
        ----------
        request_id : str
            Id of the request that it is lent for; empty if it has none.

        Raises
        ------
        NotSentError
            If no connection can be established.
        """
        connection = await self._take_idle(destination, request_id)
        if connection is None:
            connection = await self._connect(destination)
        else:
            self.reused += 1
        kept = False
        try:
            yield connection
            kept = connection.end_exchange(loop_time_s())
        finally:
            if kept:
                self._idle[destination.address].append(connection)
                self._release_waiting()
            else:
                await self._close(connection)

    async def _connect(self, destination: Destination) -> ClientConnection:
        await self._make_room()
        self._open += 1
        try:
            stream = await self.connector.connect(destination)
        except BaseException:
            self._count_closed()
            raise
        self.opened += 1
        return self._make_connection(stream, destination.address)

    async def _make_room(self) -> None:
        """Close an idle connection, or wait for one, if there is no room for one more.

        Raises
        ------
        NotSentError
            If all connections stay in use.
        """
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                while 0 < self.limit <= self._open:
                    idle = max(self._idle.values(), key=len, default=None)
                    if idle:
                        await self._close(idle.popleft())
                    else:
                        await self._await_release()
        except TimeoutError:
            raise NotSentError(
                f"all {self._open} connections are in use", is_lost=False
            ) from None

    async def _await_release(self) -> None:
        released = anyio.Event()
        self._waiting[released] = None
        try:
            await released.wait()
        finally:
            self._waiting.pop(released, None)

    def _release_waiting(self) -> None:
        """Let the task that has waited longest look for room again."""
        if self._waiting:
            released = next(iter(self._waiting))
            del self._waiting[released]
            released.set()

    async def _close(self, connection: ClientConnection) -> None:
        self._count_closed()
        await connection.aclose()

    def _count_closed(self) -> None:
        self._open -= 1
        self._release_waiting()

    def adopt(self, stream: ClientStream, address: str) -> None:
        """Add a connection on which nothing was sent yet."""
        self.opened += 1
        self._open += 1
        connection = self._make_connection(stream, address)
        connection.mark_unused(loop_time_s())
        self._idle[address].append(connection)

    def _make_connection(self, stream: ClientStream, address: str) -> ClientConnection:
        return ClientConnection(stream, address, self._make_attribution())

    async def _take_idle(
        self, destination: Destination, request_id: str
    ) -> ClientConnection | None:
        idle = self._idle[destination.address]
        for connection in reversed(list(idle)):
            if destination.is_direct and connection.forwarder:
                continue
            if not connection.may_carry(request_id):
                continue
            idle.remove(connection)
            if self._is_usable(connection):
                return connection
            await self._close(connection)
        return None

    def _is_usable(self, connection: ClientConnection) -> bool:
        may_stay = self._may_stay_idle(connection, loop_time_s())
        return may_stay and connection.is_silent()

    def _may_stay_idle(self, connection: ClientConnection, now_s: float) -> bool:
        is_fresh = connection.idle_until_s > now_s and not connection.has_news
        return is_fresh and self._is_carried(connection)

    def _is_carried(self, connection: ClientConnection) -> bool:
        forwarder = connection.forwarder
        if not forwarder:
            return True
        return self.connector.may_reuse_tunnel(forwarder, connection.address)

    async def close_idle(self, wanted: set[str] | None = None) -> None:
        """Close the idle connections that have expired or are no longer wanted.

        Those that have received bytes or were closed by the server expire at once.

        Parameters
        ----------
        wanted : set of str or None
            Addresses whose connections are kept; None keeps all addresses.
        """
        now_s = loop_time_s()
        expired: list[ClientConnection] = []
        for address, connections in list(self._idle.items()):
            is_wanted = wanted is None or address in wanted
            kept = [
                each
                for each in connections
                if is_wanted and self._may_stay_idle(each, now_s)
            ]
            expired += [each for each in connections if each not in kept]
            self._idle[address] = deque(kept)
            if not kept:
                del self._idle[address]
        # Closed last, as other tasks may take a connection while one is closing.
        for connection in expired:
            await self._close(connection)

    async def close_idle_to(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            await self._close(connection)

    async def aclose(self) -> None:
        """Close all idle connections."""
        await self.close_idle(set())
