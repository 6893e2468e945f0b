"""The callers' face: the interface that callers of model servers know."""

import hashlib
import json
import time
import uuid
from contextlib import aclosing
from typing import Any

import anyio
import httpx
from starlette.requests import ClientDisconnect, Request
from starlette.types import Receive, Scope, Send

from knapweedbridge_core import events
from knapweedbridge_core.actions import Dispatch, Finish
from knapweedbridge_core.configuration import Configuration, KeyEntry, Service
from knapweedbridge_core.errors import NameFormatError
from knapweedbridge_core.names import AdapterVersion, parse_adapter_version
from knapweedbridge_core.outcomes import Complete, NotRun, Outcome, Reason, Unknown
from knapweedbridge_daemon.driver import Driver
from knapweedbridge_daemon.endpoints import AttemptFailedError, HttpEndpoint
from knapweedbridge_daemon.keys import bearer_key

MODEL_PATHS = ("/v1/chat/completions", "/v1/completions")
MAX_BODY_BYTES = 4 << 20
DONE = b"data: [DONE]"
STATUS = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHENTICATED: 401,
    Reason.FORBIDDEN: 403,
    Reason.UNKNOWN_MODEL: 404,
    Reason.REPEATED: 409,
    Reason.LIMIT: 429,
    Reason.BLAMED: 422,
    Reason.STREAM_BROKEN: 502,
    Reason.WRONG_ADAPTER: 502,
}
DEFAULT_STATUS = 503


class RefusedError(Exception):
    """A request was refused before the core saw it."""

    def __init__(self, reason: Reason, message: str) -> None:
        super().__init__(message)
        self.reason = reason


def error_body(outcome: NotRun | Unknown, message: str = "") -> dict[str, Any]:
    """Make the JSON body of an error."""
    run = "not_run" if isinstance(outcome, NotRun) else "unknown"
    text = message or str(outcome.reason).replace("_", " ")
    return {
        "error": {"message": text, "type": run, "code": str(outcome.reason), "run": run}
    }


class CallersApp:
    """ASGI application of the callers' face."""

    def __init__(
        self, driver: Driver, client: httpx.AsyncClient, deadline_s: float
    ) -> None:
        self._driver = driver
        self._client = client
        self._deadline_s = deadline_s

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one connection event of the web server."""
        if scope["type"] == "lifespan":
            await _lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        request = Request(scope, receive)
        try:
            await self._serve(request, send)
        except RefusedError as error:
            await _send_error(send, NotRun(error.reason), str(error))
        except ClientDisconnect:
            return

    async def _serve(self, request: Request, send: Send) -> None:
        configuration = self._driver.bridge.configuration
        key = bearer_key(request.headers, configuration)
        if key is None:
            raise RefusedError(Reason.UNAUTHENTICATED, "no such key")
        if request.url.path == "/v1/models":
            await _send_json(send, 200, _models(configuration, key))
            return
        body = await _read_body(request)
        wanted = self._describe(request, body, configuration, key)
        call = _Call(self._driver, self._client, request, send, body, wanted)
        await call.run()

    def _describe(
        self, request: Request, body: bytes, configuration: Configuration, key: KeyEntry
    ) -> events.Request:
        path = request.url.path
        if path in MODEL_PATHS:
            return self._describe_model(request, body, configuration, key)
        for service in configuration.services.values():
            if path == service.path or path.startswith(service.path + "/"):
                return self._describe_service(request, body, service, key)
        raise RefusedError(Reason.UNKNOWN_MODEL, f"nothing is served at {path}")

    def _describe_model(
        self, request: Request, body: bytes, configuration: Configuration, key: KeyEntry
    ) -> events.Request:
        try:
            name = json.loads(body)["model"]
        except (ValueError, KeyError, TypeError):
            raise RefusedError(Reason.BAD_REQUEST, "the body names no model") from None
        application = configuration.applications.get(name)
        model = application.model if application else _model(name, configuration)
        team = application.team if application else _team(model, configuration)
        if team != key.team and key.role != "administrator":
            raise RefusedError(Reason.FORBIDDEN, f"{name} belongs to another team")
        return self._request(
            request,
            body,
            key,
            model=model,
            priority=application.priority if application else "normal",
            non_idempotent=bool(application and application.non_idempotent),
        )

    def _describe_service(
        self, request: Request, body: bytes, service: Service, key: KeyEntry
    ) -> events.Request:
        if service.team != key.team and key.role != "administrator":
            raise RefusedError(Reason.FORBIDDEN, "it belongs to another team")
        unsafe = service.non_idempotent and request.method not in ("GET", "HEAD")
        return self._request(
            request, body, key, service=service.name, non_idempotent=unsafe
        )

    def _request(
        self,
        request: Request,
        body: bytes,
        key: KeyEntry,
        *,
        model: AdapterVersion | None = None,
        service: str = "",
        priority: str = "normal",
        non_idempotent: bool = False,
    ) -> events.Request:
        try:
            within_s = float(request.headers.get("x-deadline-s", self._deadline_s))
        except ValueError:
            raise RefusedError(Reason.BAD_REQUEST, "X-Deadline-S: a number") from None
        seen = f"{key.name}\0{model}\0{service}\0".encode() + body
        return events.Request(
            request_id=uuid.uuid4().hex,
            caller=key.name,
            team=key.team,
            model=model,
            service=service,
            priority=priority,
            non_idempotent=non_idempotent,
            idempotency_key=request.headers.get("idempotency-key", ""),
            deadline_s=time.monotonic() + within_s,
            fingerprint=hashlib.blake2b(seen, digest_size=16).hexdigest(),
        )


class _Call:
    """One request under way: follows the core, streams its attempts."""

    def __init__(
        self,
        driver: Driver,
        client: httpx.AsyncClient,
        request: Request,
        send: Send,
        body: bytes,
        wanted: events.Request,
    ) -> None:
        self._driver = driver
        self._client = client
        self._http = request
        self._send = send
        self._wanted = wanted
        self._body = body
        self._streamed = False
        if wanted.model is not None:
            fields = json.loads(body)
            self._streamed = bool(fields.get("stream"))
            fields["model"] = str(wanted.model)
            self._body = json.dumps(fields).encode()
        self._started = False
        self._tokens = 0

    async def run(self) -> None:
        request_id = self._wanted.request_id
        follow = self._driver.follow(request_id)
        try:
            await self._driver.submit(events.RequestArrived(self._wanted))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._watch_caller)
                await self._follow(follow)
                tasks.cancel_scope.cancel()
        finally:
            self._driver.unfollow(request_id)
            with anyio.CancelScope(shield=True):
                await self._driver.submit(events.CallerLeft(request_id))

    async def _watch_caller(self) -> None:
        while True:
            message = await self._http.receive()
            if message["type"] == "http.disconnect":
                raise ClientDisconnect

    async def _follow(self, follow: Any) -> None:
        async for step in follow:
            if isinstance(step, Finish):
                await self._finish(step.outcome)
                return
            outcome = await self._attempt(step)
            ended = events.AttemptEnded(step.request_id, step.attempt_id, outcome)
            await self._driver.submit(ended)

    async def _finish(self, outcome: Outcome) -> None:
        if isinstance(outcome, Complete):
            await self._send({"type": "http.response.body", "body": b""})
        elif not self._started:
            await _send_error(self._send, outcome)
        elif self._streamed:
            event = json.dumps(error_body(outcome)).encode()
            last = {"type": "http.response.body", "body": b"data: " + event + b"\n\n"}
            await self._send(last)

    async def _attempt(self, step: Dispatch) -> Outcome:
        endpoint = HttpEndpoint(self._client, step.address)
        headers = {
            "content-type": self._http.headers.get("content-type", "application/json"),
            "x-request-id": self._wanted.request_id,
            "x-attempt-id": step.attempt_id,
        }
        path = self._http.url.path
        if self._http.url.query:
            path += "?" + self._http.url.query
        attempt = endpoint.stream(self._http.method, path, self._body, headers)
        try:
            async with attempt as response:
                return await self._relay(response)
        except AttemptFailedError as error:
            return self._with_tokens(error.outcome)

    def _with_tokens(self, outcome: Outcome) -> Outcome:
        if isinstance(outcome, Unknown):
            return Unknown(outcome.reason, self._tokens)
        return outcome

    async def _relay(self, response: Any) -> Outcome:
        claimed = response.headers.get("x-model", str(self._wanted.model))
        if self._wanted.model is not None and claimed != str(self._wanted.model):
            return Unknown(Reason.WRONG_ADAPTER, self._tokens)
        if not self._streamed:
            body = b"".join([chunk async for chunk in response.chunks])
            await self._begin(response)
            await self._send_chunk(body)
            return Complete(1)
        tail = b""
        async with aclosing(response.chunks) as chunks:
            async for chunk in chunks:
                if not self._started:
                    await self._begin(response)
                self._tokens += chunk.count(b"data: ")
                tail = (tail + chunk)[-64:]
                await self._send_chunk(chunk)
        if DONE not in tail:
            return Unknown(Reason.STREAM_BROKEN, self._tokens)
        return Complete(self._tokens)

    async def _begin(self, response: Any) -> None:
        self._started = True
        kind = response.headers.get("content-type", "application/json")
        headers = [
            (b"content-type", kind.encode()),
            (b"x-request-id", self._wanted.request_id.encode()),
        ]
        await self._send(
            {
                "type": "http.response.start",
                "status": response.status,
                "headers": headers,
            }
        )

    async def _send_chunk(self, chunk: bytes) -> None:
        await self._send(
            {"type": "http.response.body", "body": chunk, "more_body": True}
        )


def _model(name: Any, configuration: Configuration) -> AdapterVersion:
    try:
        model = parse_adapter_version(str(name))
    except NameFormatError as error:
        raise RefusedError(Reason.UNKNOWN_MODEL, str(error)) from None
    if model not in configuration.versions:
        raise RefusedError(Reason.UNKNOWN_MODEL, f"no model {model}")
    return model


def _team(model: AdapterVersion, configuration: Configuration) -> str:
    return configuration.adapters[model.adapter].team


def _models(configuration: Configuration, key: KeyEntry) -> dict[str, Any]:
    names = [
        str(model)
        for model in configuration.versions
        if _team(model, configuration) == key.team or key.role == "administrator"
    ]
    names += [
        application.name
        for application in configuration.applications.values()
        if application.team == key.team or key.role == "administrator"
    ]
    data = [
        {"id": name, "object": "model", "created": 0, "owned_by": key.team}
        for name in sorted(names)
    ]
    return {"object": "list", "data": data}


async def _read_body(request: Request) -> bytes:
    body = b""
    async for chunk in request.stream():
        body += chunk
        if len(body) > MAX_BODY_BYTES:
            raise RefusedError(Reason.BAD_REQUEST, "the body is over 4 MiB")
    return body


async def _send_json(
    send: Send, status: int, body: Any, headers: list[tuple[bytes, bytes]] | None = None
) -> None:
    start = {
        "type": "http.response.start",
        "status": status,
        "headers": [(b"content-type", b"application/json"), *(headers or [])],
    }
    await send(start)
    await send({"type": "http.response.body", "body": json.dumps(body).encode()})


async def _send_error(send: Send, outcome: NotRun | Unknown, message: str = "") -> None:
    headers = []
    if isinstance(outcome, NotRun) and outcome.retry_after_s is not None:
        seconds = max(1, round(outcome.retry_after_s))
        headers = [(b"retry-after", str(seconds).encode())]
    status = STATUS.get(outcome.reason, DEFAULT_STATUS)
    await _send_json(send, status, error_body(outcome, message), headers)


async def _lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        if message["type"] == "lifespan.startup":
            await send({"type": "lifespan.startup.complete"})
        else:
            await send({"type": "lifespan.shutdown.complete"})
            return
