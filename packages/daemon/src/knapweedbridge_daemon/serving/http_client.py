"""Connections to HTTP/1.1 servers: opened, kept while they are idle, lent."""

import asyncio
from collections import defaultdict, deque
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager

import anyio

from knapweedbridge_core.addresses import split_address
from knapweedbridge_daemon.serving.byte_stream import ByteStream
from knapweedbridge_daemon.serving.client_connection import (
    BrokenError,
    ClientConnection,
    NotSentError,
)
from knapweedbridge_daemon.serving.clock import loop_time_s

__all__ = ["BrokenError", "ClientConnection", "ConnectionPool", "NotSentError"]

CONNECT_TIMEOUT_S = 0.6
"""Bound on a new connection: way and handshake take a few ms, and a lost opening
packet is sent again after a second, when another endpoint has long answered."""


class ConnectionPool:
    """Keeps idle connections by address."""

    def __init__(self) -> None:
        self._idle: dict[str, deque[ClientConnection]] = defaultdict(deque)
        self.opened = 0
        self.reused = 0

    @asynccontextmanager
    async def connection(self, address: str) -> AsyncGenerator[ClientConnection, None]:
        """Lend a connection; it is kept if its last answer ended cleanly.

        Raises
        ------
        NotSentError
            If none can be made.
        """
        connection = await self._take(address)
        if connection is None:
            connection = await self._open(address)
        else:
            self.reused += 1
        kept = False
        try:
            yield connection
            kept = connection.end_exchange(loop_time_s())
        finally:
            if kept:
                self._idle[address].append(connection)
            else:
                await connection.aclose()

    async def _take(self, address: str) -> ClientConnection | None:
        while self._idle[address]:
            connection = self._idle[address].pop()
            fresh = connection.idle_until_s > loop_time_s()
            if fresh and connection.is_silent():
                return connection
            await connection.aclose()
        return None

    async def _open(self, address: str) -> ClientConnection:
        ip, port = split_address(address)
        loop = asyncio.get_running_loop()
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                _, stream = await loop.create_connection(ByteStream, ip, port)
        except (OSError, TimeoutError) as error:
            raise NotSentError(f"{address}: {error!r}") from error
        self.opened += 1
        return ClientConnection(stream, address)

    async def close_idle(self, wanted: set[str] | None = None) -> None:
        """Close connections whose idle life is over, or that lead elsewhere."""
        now_s = loop_time_s()
        over: list[ClientConnection] = []
        for address, connections in list(self._idle.items()):
            unwanted = wanted is not None and address not in wanted
            kept = [
                each
                for each in connections
                if not unwanted and each.idle_until_s > now_s
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
