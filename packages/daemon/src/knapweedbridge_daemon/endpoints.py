"""Endpoints: model engines and plain services, as the daemon speaks to them."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import httpx

from knapweedbridge_core.actions import OrderEndpoint
from knapweedbridge_core.names import parse_adapter_version
from knapweedbridge_core.outcomes import NotRun, Outcome, Reason, Unknown
from knapweedbridge_daemon.errors import EndpointError

ORDER_TIMEOUT_S = 30.0
REFUSING_STATUS = frozenset({404, 409, 429, 503})


@dataclass(slots=True)
class AttemptFailedError(Exception):
    """An attempt ended without a whole answer."""

    outcome: Outcome


@dataclass(slots=True, frozen=True)
class Report:
    """What an endpoint says it holds and runs; it may be old."""

    loaded: tuple[Any, ...]
    running: dict[Any, int]


class Endpoint(ABC):
    """One endpoint."""

    @abstractmethod
    def stream(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> Any:
        """Open an attempt; a context manager of a response with chunks.

        Raises
        ------
        AttemptFailedError
            With `NotRun` only where that is proved, else with `Unknown`.
        """

    @abstractmethod
    async def order(self, order: OrderEndpoint) -> None:
        """Carry out a load or an eviction; may raise EndpointError."""

    @abstractmethod
    async def report(self) -> Report:
        """Fetch a report; may raise EndpointError."""


@dataclass(slots=True)
class EndpointResponse:
    """An answer that has begun."""

    status: int
    headers: httpx.Headers
    chunks: AsyncIterator[bytes]


class HttpEndpoint(Endpoint):
    """An endpoint behind the HTTP interface that model servers share."""

    def __init__(self, client: httpx.AsyncClient, address: str) -> None:
        self._client = client
        self._base = f"http://{address}"

    @asynccontextmanager
    async def stream(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> AsyncIterator[EndpointResponse]:
        """See `Endpoint.stream`."""
        request = self._client.build_request(
            method, self._base + path, content=body, headers=headers
        )
        try:
            response = await self._client.send(request, stream=True)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            outcome = NotRun(Reason.CONNECT_FAILED)
            raise AttemptFailedError(outcome) from error
        except httpx.HTTPError as error:
            raise AttemptFailedError(Unknown(Reason.STREAM_BROKEN)) from error
        try:
            if response.status_code in REFUSING_STATUS:
                raise AttemptFailedError(NotRun(Reason.ENDPOINT_REFUSED))
            yield EndpointResponse(
                response.status_code, response.headers, response.aiter_raw()
            )
        except httpx.HTTPError as error:
            raise AttemptFailedError(Unknown(Reason.STREAM_BROKEN)) from error
        finally:
            await response.aclose()

    async def order(self, order: OrderEndpoint) -> None:
        """See `Endpoint.order`."""
        verb = {"load": "load", "evict": "unload"}[order.kind]
        body = {"lora_name": str(order.model), "lora_path": order.weights}
        headers = {"x-fencing-number": str(order.number)}
        try:
            response = await self._client.post(
                f"{self._base}/v1/{verb}_lora_adapter",
                json=body,
                headers=headers,
                timeout=ORDER_TIMEOUT_S,
            )
        except httpx.HTTPError as error:
            raise EndpointError(f"{order.kind}: {error!r}") from error
        if response.status_code != 200:
            raise EndpointError(f"{order.kind}: {response.status_code}")

    async def report(self) -> Report:
        """See `Endpoint.report`."""
        try:
            response = await self._client.get(f"{self._base}/report")
            response.raise_for_status()
            found = response.json()
            running = {
                parse_adapter_version(name): count
                for name, count in found["running"].items()
            }
            loaded = tuple(parse_adapter_version(name) for name in found["loaded"])
            return Report(loaded, running)
        except (httpx.HTTPError, ValueError, KeyError) as error:
            raise EndpointError(f"report: {error!r}") from error
