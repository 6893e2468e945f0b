"""The callers' face: the interface that callers of model servers know."""

import hashlib
import json
import time
import uuid
from typing import Any

from starlette.requests import ClientDisconnect, Request
from starlette.types import Receive, Scope, Send

from knapweedbridge_core import events
from knapweedbridge_core.configuration import Configuration, KeyEntry, Service
from knapweedbridge_core.errors import NameFormatError
from knapweedbridge_core.names import AdapterVersion, parse_adapter_version
from knapweedbridge_core.outcomes import NotRun, Reason
from knapweedbridge_daemon.answers import RefusedError, send_error, send_json
from knapweedbridge_daemon.calls import Call
from knapweedbridge_daemon.connections import Connections
from knapweedbridge_daemon.driver import Driver
from knapweedbridge_daemon.keys import bearer_key

MODEL_PATHS = ("/v1/chat/completions", "/v1/completions")
MAX_BODY_BYTES = 4 << 20


class CallersApp:
    """ASGI application of the callers' face."""

    def __init__(
        self, driver: Driver, connections: Connections, deadline_s: float
    ) -> None:
        self._driver = driver
        self._connections = connections
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
            await send_error(send, NotRun(error.reason), str(error))
        except ClientDisconnect:
            return

    async def _serve(self, request: Request, send: Send) -> None:
        configuration = self._driver.bridge.configuration
        key = bearer_key(request.headers, configuration)
        if key is None:
            raise RefusedError(Reason.UNAUTHENTICATED, "no such key")
        if request.url.path == "/v1/models":
            await send_json(send, 200, _models(configuration, key))
            return
        body = await _read_body(request)
        wanted = self._describe(request, body, configuration, key)
        call = Call(self._driver, self._connections, request, send, body, wanted)
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
            fields = json.loads(body)
            name = fields["model"]
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
            streamed=bool(fields.get("stream")),
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
        streamed: bool = False,
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
            streamed=streamed,
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


async def _lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        if message["type"] == "lifespan.startup":
            await send({"type": "lifespan.startup.complete"})
        else:
            await send({"type": "lifespan.shutdown.complete"})
            return
