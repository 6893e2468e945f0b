"""The platform's lagging list of live and leaving hosts."""

from abc import ABC, abstractmethod

import httpx

from knapweedbridge_core.events import ListedHost
from knapweedbridge_daemon.errors import DaemonError
from knapweedbridge_daemon.plain_transport import GuardedTransport


class HostList(ABC):
    """Who should exist, seconds late."""

    @abstractmethod
    async def read(self) -> tuple[ListedHost, ...]:
        """Return the list; may raise DaemonError."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class HttpHostList(HostList):
    """The list as a JSON array behind a URL."""

    def __init__(self, url: str, timeout_s: float) -> None:
        self._url = url
        self._client = httpx.AsyncClient(
            transport=GuardedTransport(), timeout=timeout_s
        )

    async def read(self) -> tuple[ListedHost, ...]:
        """See `HostList.read`."""
        try:
            response = await self._client.get(self._url)
            response.raise_for_status()
            return tuple(ListedHost(**line) for line in response.json())
        except (httpx.HTTPError, ValueError, TypeError) as error:
            raise DaemonError(f"host list: {error!r}") from error

    async def close(self) -> None:
        """See `HostList.close`."""
        await self._client.aclose()
