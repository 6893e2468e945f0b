"""Connections to endpoints: short-lived in the pool, and new ones for checks."""

import socket
import ssl
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from typing import Any

import httpx

from knapweedbridge_daemon.passing import NEUTRAL_HEADERS, keep_no_cookies
from knapweedbridge_daemon.plain_transport import PoolOptions, SocketOption
from knapweedbridge_daemon.transports import make_transport

MAX_CONNECTIONS = 2000
KEEPALIVE_PROBES = 3


@dataclass(slots=True, frozen=True)
class Bounds:
    """Bounds on silence and waits, in seconds; each is a setting of ``[requests]``."""

    connect_timeout_s: float = 1.0
    first_token_timeout_s: float = 20.0
    token_gap_timeout_s: float = 5.0
    connection_idle_s: float = 2.0
    connection_age_s: float = 60.0
    keepalive_s: float = 5.0
    join_wait_s: float = 0.0
    stream_client: str = "aiohttp"

    @classmethod
    def of(cls, values: dict[str, Any]) -> "Bounds":
        """Take the bounds from a section of the settings."""
        return cls(**{name: values[name] for name in cls.__dataclass_fields__})


@dataclass(slots=True)
class _Pool:
    client: httpx.AsyncClient
    born_s: float
    users: int = 0
    retired: bool = False


class Connections:
    """Owns the clients that speak to endpoints.

    A connection that something between the two ends lost track of stays open
    and silent. So connections leave the pool after a short idle life; the
    whole pool is replaced at a greatest age, or when one of its connections
    was silent; and checks, resumes and orders each open a new connection.

    Parameters
    ----------
    bounds : Bounds
        Bounds on silence and on the life of connections.
    """

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self._tls = ssl.create_default_context()
        self._stack = AsyncExitStack()
        self._pool: _Pool | None = None
        self.fresh = self._open(kept=0)

    async def __aenter__(self) -> "Connections":
        await self._stack.enter_async_context(self.fresh)
        self._stack.push_async_callback(self.retire)
        return self

    async def __aexit__(self, *error: object) -> None:
        await self._stack.aclose()

    @asynccontextmanager
    async def pooled(self) -> AsyncIterator[httpx.AsyncClient]:
        """Lend the client whose connections are reused."""
        pool = await self._current()
        pool.users += 1
        try:
            yield pool.client
        finally:
            pool.users -= 1
            if pool.retired and not pool.users:
                await pool.client.aclose()

    @asynccontextmanager
    async def for_attempt(self, runs_once: bool) -> AsyncIterator[httpx.AsyncClient]:
        """Lend the client for an attempt.

        Parameters
        ----------
        runs_once : bool
            Whether the request may run only once. It then gets a connection of its own:
            on a kept one, a late second response to an earlier request could be taken
            for its own, as these responses name no request.
        """
        if runs_once:
            yield self.fresh
            return
        async with self.pooled() as client:
            yield client

    async def retire(self) -> None:
        """Reuse none of the present connections; those at work go on."""
        pool, self._pool = self._pool, None
        if pool is None:
            return
        pool.retired = True
        if not pool.users:
            await pool.client.aclose()

    async def _current(self) -> _Pool:
        now_s = time.monotonic()
        pool = self._pool
        if pool is not None and now_s - pool.born_s >= self.bounds.connection_age_s:
            await self.retire()
        if self._pool is None:
            self._pool = _Pool(self._open(kept=MAX_CONNECTIONS), now_s)
        return self._pool

    def _open(self, kept: int) -> httpx.AsyncClient:
        bounds = self.bounds
        options = PoolOptions(
            max_connections=MAX_CONNECTIONS,
            kept=kept,
            idle_s=bounds.connection_idle_s,
            tls=self._tls,
            socket_options=_keepalive(bounds.keepalive_s),
        )
        timeout = httpx.Timeout(
            bounds.first_token_timeout_s, read=None, connect=bounds.connect_timeout_s
        )
        return httpx.AsyncClient(
            transport=make_transport(options, bounds.stream_client),
            timeout=timeout,
            trust_env=False,
            headers=NEUTRAL_HEADERS,
            cookies=keep_no_cookies(),
        )


def _keepalive(idle_s: float) -> tuple[SocketOption, ...]:
    # An answer that does not come in a stream has no token gap to bound: the
    # kernel's probes tell a lost connection from a slow endpoint.
    whole_s = max(1, round(idle_s))
    tcp = socket.IPPROTO_TCP
    return (
        (tcp, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (tcp, socket.TCP_KEEPIDLE, whole_s),
        (tcp, socket.TCP_KEEPINTVL, max(1, whole_s // KEEPALIVE_PROBES)),
        (tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (tcp, socket.TCP_USER_TIMEOUT, 2000 * whole_s),
    )
