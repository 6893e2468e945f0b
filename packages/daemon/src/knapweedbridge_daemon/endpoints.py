"""Endpoints: model engines and plain services, as the daemon speaks to them."""

import json
import time
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import anyio
import httpx

from knapweedbridge_core.actions import OrderEndpoint
from knapweedbridge_core.names import parse_adapter_version
from knapweedbridge_core.outcomes import NotRun, Outcome, Reason, Unknown
from knapweedbridge_daemon.errors import EndpointError
from knapweedbridge_daemon.probes import says_leaving
from knapweedbridge_daemon.relay import SilenceError
from knapweedbridge_daemon.sse import BrokenEventsError

FENCING_HEADER = "x-fencing-number"
ORDER_TIMEOUT_S = 30.0
CANCEL_TIMEOUT_S = 1.0
REPORT_TIMEOUT_S = 5.0
HEAD_BYTES = 65536
WRITING_EVENT = "send_request_headers.started"

# docs/design/outcomes-and-retries.md gives the table.
ENGINE_REFUSING_STATUS = frozenset({404, 429})
ENGINE_REFUSING_CODES = frozenset(
    {"not_loaded", "overloaded", "starting", "draining", "wrong_role"}
)
LEAVING_STATUS = 503
GATEWAY_STATUS = frozenset({502, 503, 504})


@dataclass(slots=True)
class AttemptFailedError(Exception):
    """An attempt ended without a whole answer."""

    outcome: Outcome


@dataclass(slots=True, frozen=True)
class Report:
    """What an endpoint says it holds and runs; it may be old."""

    loaded: tuple[Any, ...]
    running: dict[Any, int]
    age_s: float = 0.0


class Endpoint(ABC):
    """One endpoint."""

    @abstractmethod
    def stream(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: list[tuple[str, str]],
        head_timeout_s: float,
    ) -> Any:
        """Open an attempt; a context manager of a response with chunks.

        Raises
        ------
        AttemptFailedError
            With `NotRun` only where that is proved, else with `Unknown`.
        """

    @abstractmethod
    def resume(self, attempt_id: str, offset: int, head_timeout_s: float) -> Any:
        """Open a running attempt's stream again, from one event on.

        Raises
        ------
        AttemptFailedError
            With `Unknown`: that a resume failed proves nothing of the attempt.
        """

    @abstractmethod
    async def cancel(self, attempt_id: str) -> None:
        """Stop an attempt; may raise EndpointError."""

    @abstractmethod
    async def order(self, order: OrderEndpoint) -> None:
        """Carry out a load or an eviction; may raise EndpointError."""

    @abstractmethod
    async def report(self, number: int = 0) -> Report:
        """Fetch a report under an owner's number; may raise EndpointError."""


@dataclass(slots=True)
class EndpointResponse:
    """An answer that has begun."""

    status: int
    headers: httpx.Headers
    chunks: AsyncIterator[bytes]


class _Writing:
    """Learns from the HTTP library whether any byte of a request was written.

    A connection of the pool may have been closed by the far side before the
    request was written, or after: only this tells the two apart.
    """

    def __init__(self) -> None:
        self.began = False

    async def __call__(self, event: str, info: Any) -> None:
        """Take one event of the HTTP library's trace."""
        if event.endswith(WRITING_EVENT):
            self.began = True


class HttpEndpoint(Endpoint):
    """An endpoint behind the HTTP interface that model servers share.

    Parameters
    ----------
    client : httpx.AsyncClient
        Its connections.
    address : str
        IP number and port.
    engine : bool
        Whether a model engine stands there, or else a plain service.
    """

    def __init__(
        self, client: httpx.AsyncClient, address: str, engine: bool = True
    ) -> None:
        self._client = client
        self._base = f"http://{address}"
        self._engine = engine

    @asynccontextmanager
    async def stream(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: list[tuple[str, str]],
        head_timeout_s: float,
    ) -> AsyncIterator[EndpointResponse]:
        """See `Endpoint.stream`."""
        writing = _Writing()
        request = self._client.build_request(
            method,
            self._base + path,
            content=body,
            headers=headers,
            extensions={"trace": writing},
        )
        try:
            with anyio.fail_after(head_timeout_s):
                response = await self._client.send(request, stream=True)
        except (httpx.HTTPError, TimeoutError) as error:
            raise AttemptFailedError(_failed(writing, error)) from error
        async with _closing(response):
            if self._engine and response.status_code == 409:
                yield await self._conflict(response)
                return
            if self._engine:
                await self._raise_for_engine(response)
            elif response.status_code == LEAVING_STATUS and says_leaving(response):
                raise AttemptFailedError(NotRun(Reason.ENDPOINT_LEAVING))
            elif response.status_code in GATEWAY_STATUS:
                raise AttemptFailedError(Unknown(Reason.ENDPOINT_FAILED))
            yield EndpointResponse(
                response.status_code, response.headers, _raw_chunks(response)
            )

    @staticmethod
    async def _conflict(response: httpx.Response) -> EndpointResponse:
        body = await _read(response)
        if _error_code(body) in ENGINE_REFUSING_CODES:
            raise AttemptFailedError(NotRun(Reason.ENDPOINT_REFUSED))
        return EndpointResponse(409, response.headers, _once(body))

    @staticmethod
    async def _raise_for_engine(response: httpx.Response) -> None:
        status = response.status_code
        if status in ENGINE_REFUSING_STATUS:
            reason = Reason.NOT_LOADED if status == 404 else Reason.ENDPOINT_REFUSED
            raise AttemptFailedError(NotRun(reason))
        if status < 500:
            return
        if status == LEAVING_STATUS and says_leaving(response):
            raise AttemptFailedError(NotRun(Reason.ENDPOINT_LEAVING))
        if _error_code(await _read(response)) in ENGINE_REFUSING_CODES:
            raise AttemptFailedError(NotRun(Reason.ENDPOINT_REFUSED))
        raise AttemptFailedError(Unknown(Reason.ENDPOINT_FAILED))

    @asynccontextmanager
    async def resume(
        self, attempt_id: str, offset: int, head_timeout_s: float
    ) -> AsyncIterator[EndpointResponse]:
        """See `Endpoint.resume`."""
        url = f"{self._base}/v1/streams/{attempt_id}"
        request = self._client.build_request("GET", url, params={"offset": offset})
        try:
            with anyio.fail_after(head_timeout_s):
                response = await self._client.send(request, stream=True)
        except (httpx.HTTPError, TimeoutError) as error:
            # No answer, unlike a refusal, may be another on the next connection.
            raise AttemptFailedError(Unknown(Reason.STREAM_BROKEN)) from error
        async with _closing(response):
            if response.status_code != 200:
                raise AttemptFailedError(Unknown(Reason.RESUME_FAILED))
            yield EndpointResponse(200, response.headers, _raw_chunks(response))

    async def cancel(self, attempt_id: str) -> None:
        """See `Endpoint.cancel`."""
        try:
            response = await self._client.post(
                f"{self._base}/v1/cancel",
                json={"attempt_id": attempt_id},
                timeout=CANCEL_TIMEOUT_S,
            )
            response.raise_for_status()
        except httpx.HTTPError as error:
            raise EndpointError(f"cancel: {error!r}") from error

    async def order(self, order: OrderEndpoint) -> None:
        """See `Endpoint.order`."""
        verb = {"load": "load", "evict": "unload"}[order.kind]
        body = {"lora_name": str(order.model), "lora_path": order.weights}
        headers = {FENCING_HEADER: str(order.number)}
        writing = _Writing()
        if time.monotonic() >= order.not_after_s:
            raise EndpointError(f"{order.kind}: the owner's lease is about to lapse")
        try:
            response = await self._client.post(
                f"{self._base}/v1/{verb}_lora_adapter",
                json=body,
                headers=headers,
                timeout=ORDER_TIMEOUT_S,
                extensions={"trace": writing},
            )
        except httpx.HTTPError as error:
            raise EndpointError(f"{order.kind}: {error!r}", writing.began) from error
        if response.status_code != 200:
            raise EndpointError(f"{order.kind}: {response.status_code}")

    async def report(self, number: int = 0) -> Report:
        """See `Endpoint.report`."""
        try:
            response = await self._client.get(
                f"{self._base}/report",
                headers={FENCING_HEADER: str(number)},
                timeout=REPORT_TIMEOUT_S,
            )
            response.raise_for_status()
            found = response.json()
            running = {
                parse_adapter_version(name): count
                for name, count in found["running"].items()
            }
            loaded = tuple(parse_adapter_version(name) for name in found["loaded"])
            return Report(loaded, running, float(found.get("age_s", 0.0)))
        except (httpx.HTTPError, ValueError, KeyError) as error:
            raise EndpointError(f"report: {error!r}") from error


def _failed(writing: _Writing, error: Exception) -> Outcome:
    if not writing.began:
        return NotRun(Reason.CONNECT_FAILED)
    if isinstance(error, (TimeoutError, httpx.TimeoutException)):
        return Unknown(Reason.SILENT)
    return Unknown(Reason.STREAM_BROKEN)


def _raw_chunks(response: httpx.Response) -> AsyncIterator[bytes]:
    # The stream itself: `aiter_raw` puts a layer more on each chunk.
    assert isinstance(response.stream, httpx.AsyncByteStream)
    return aiter(response.stream)


@asynccontextmanager
async def _closing(response: httpx.Response) -> AsyncIterator[None]:
    try:
        yield
    except (httpx.HTTPError, BrokenEventsError) as error:
        raise AttemptFailedError(Unknown(Reason.STREAM_BROKEN)) from error
    except SilenceError as error:
        raise AttemptFailedError(Unknown(Reason.SILENT)) from error
    finally:
        with anyio.CancelScope(shield=True):
            await response.aclose()


async def _read(response: httpx.Response) -> bytes:
    body = b""
    async for chunk in response.aiter_raw():
        body += chunk
        if len(body) > HEAD_BYTES:
            break
    return body


async def _once(body: bytes) -> AsyncIterator[bytes]:
    yield body


def _error_code(body: bytes) -> str:
    try:
        return str(json.loads(body)["error"]["code"])
    except (ValueError, KeyError, TypeError):
        return ""
