"""The callers' face: the interface that callers of model servers know."""

import hashlib
import time
import uuid
from dataclasses import asdict, dataclass

from eliot import write_traceback
from starlette.requests import ClientDisconnect, Request
from starlette.types import Message, Receive, Scope, Send

from knapweedbridge_core import events
from knapweedbridge_core.configuration import KeyEntry
from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_core.outcomes import NotRun, Reason, Unknown
from knapweedbridge_core.rules import RuleResult
from knapweedbridge_daemon.answers import RefusedError, send_error, send_json
from knapweedbridge_daemon.body_reading import BodyReader, BodyRefusedError
from knapweedbridge_daemon.caller_bodies import read_body, read_model_body
from knapweedbridge_daemon.caller_headers import (
    Asked,
    read_headers,
    request_id_of,
)
from knapweedbridge_daemon.calls import Call
from knapweedbridge_daemon.catalogue import Catalogue
from knapweedbridge_daemon.connections import Connections
from knapweedbridge_daemon.driver import Driver
from knapweedbridge_daemon.keys import bearer_key
from knapweedbridge_daemon.passing import raw_target

MODEL_PATHS = ("/v1/chat/completions", "/v1/completions")
MODELS_PATH = "/v1/models"
READING_METHODS = ("GET", "HEAD")
REQUEST_ID_HEADER = b"x-request-id"
OWN_ID_HEADER = b"x-knapweedbridge-id"


@dataclass(slots=True, frozen=True)
class FaceBounds:
    """Bounds of the callers' face; each is a setting of ``[requests]``.

    Parameters
    ----------
    deadline_s : float
        Deadline of a request that names none, in seconds.
    max_body_bytes : int
        Largest body of a request.
    """

    deadline_s: float = 60.0
    max_body_bytes: int = 4 << 20


class CallersApp:
    """ASGI application of the callers' face.

    Parameters
    ----------
    driver : Driver
        The task that owns the core.
    connections : Connections
        Connections to endpoints.
    bounds : FaceBounds
        Bounds on requests.
    bodies : BodyReader
        Receives bodies within the memory for them.
    """

    def __init__(
        self,
        driver: Driver,
        connections: Connections,
        bounds: FaceBounds,
        bodies: BodyReader,
    ) -> None:
        self._driver = driver
        self._connections = connections
        self._bounds = bounds
        self._bodies = bodies

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one connection event of the web server."""
        if scope["type"] == "lifespan":
            await _lifespan(receive, send)
        elif scope["type"] == "websocket":
            await send({"type": "websocket.close", "code": 1008})
        else:
            await self._serve_http(Request(scope, receive), send)

    async def _serve_http(self, request: Request, send: Send) -> None:
        answer = _Answer(request, send)
        try:
            await self._serve(request, answer)
        except RefusedError as error:
            outcome = NotRun(error.reason)
            await send_error(answer, outcome, str(error), error.headers)
        except BodyRefusedError as error:
            await send_error(answer, NotRun(Reason.OVERLOAD), str(error))
        except ClientDisconnect:
            return
        except Exception:
            # A fault of ours: the caller still gets the form of an error that
            # it knows, unless its answer has begun; then the broken connection
            # tells it.
            self._driver.count("request.internal")
            write_traceback()
            if answer.started:
                raise
            await send_error(answer, Unknown(Reason.INTERNAL))

    async def _serve(self, request: Request, answer: "_Answer") -> None:
        configuration = self._driver.bridge.configuration
        key = bearer_key(request.headers, configuration)
        if key is None:
            raise RefusedError(Reason.UNAUTHENTICATED, "no such key")
        catalogue = Catalogue(configuration, key)
        path = request.scope["path"]
        if path == MODELS_PATH or path.startswith(MODELS_PATH + "/"):
            await self._serve_models(request, answer, catalogue)
            return
        if path in MODEL_PATHS and await _refuse_method(request, answer, ("POST",)):
            return
        asked = read_headers(request.headers, self._bounds.deadline_s)
        wanted, body = await self._describe(request, asked, catalogue, key)
        answer.own_id = wanted.request_id
        call = Call(self._driver, self._connections, request, answer, body, wanted)
        with self._bodies.holding(body):
            await call.run()

    async def _serve_models(
        self, request: Request, answer: "_Answer", catalogue: Catalogue
    ) -> None:
        if await _refuse_method(request, answer, READING_METHODS):
            return
        name = request.scope["path"].removeprefix(MODELS_PATH).lstrip("/")
        if name:
            await send_json(answer, 200, asdict(catalogue.model(name)))
            return
        data = [asdict(entry) for entry in catalogue.models()]
        await send_json(answer, 200, {"object": "list", "data": data})

    async def _describe(
        self, request: Request, asked: Asked, catalogue: Catalogue, key: KeyEntry
    ) -> tuple[events.Request, bytes]:
        path, max_bytes = request.scope["path"], self._bounds.max_body_bytes
        if path in MODEL_PATHS:
            body = await read_body(self._bodies, request, max_bytes)
            return _describe_model(body, asked, catalogue, key), body
        service = catalogue.service(path)
        body = await read_body(self._bodies, request, max_bytes)
        ruling = catalogue.judge_call(service, request.method, path)
        called = f"{request.method} {raw_target(request.scope)}"
        wanted = _request(
            body,
            asked,
            key,
            service=service.name,
            called=called,
            ruling=ruling,
        )
        return wanted, body


class _Answer:
    """Sends one answer, with the names of its request in its head."""

    def __init__(self, request: Request, send: Send) -> None:
        self._send = send
        self._callers_id = request_id_of(request.headers)
        self.own_id = uuid.uuid4().hex
        self.started = False

    async def __call__(self, message: Message) -> None:
        if not self.started and message["type"] == "http.response.start":
            self.started = True
            message = {**message, "headers": self._headers(message)}
        await self._send(message)

    def _headers(self, message: Message) -> list[tuple[bytes, bytes]]:
        named = {REQUEST_ID_HEADER, OWN_ID_HEADER}
        kept = [pair for pair in message["headers"] if pair[0].lower() not in named]
        callers_id = self._callers_id or self.own_id
        return [
            *kept,
            (REQUEST_ID_HEADER, callers_id.encode("latin-1")),
            (OWN_ID_HEADER, self.own_id.encode()),
        ]


def _describe_model(
    body: bytes, asked: Asked, catalogue: Catalogue, key: KeyEntry
) -> events.Request:
    fields = read_model_body(body)
    target = catalogue.target(fields.model)
    application = target.application
    return _request(
        body,
        asked,
        key,
        model=target.model,
        priority=application.priority if application else "normal",
        ruling=catalogue.judge_model(target),
        streamed=fields.streamed,
    )


def _request(
    body: bytes,
    asked: Asked,
    key: KeyEntry,
    *,
    ruling: RuleResult,
    model: AdapterVersion | None = None,
    service: str = "",
    called: str = "",
    priority: str = "normal",
    streamed: bool = False,
) -> events.Request:
    seen = f"{key.name}\0{model}\0{service}\0{called}\0".encode() + body
    return events.Request(
        request_id=uuid.uuid4().hex,
        caller=key.name,
        team=key.team,
        model=model,
        service=service,
        priority=asked.priority or priority,
        non_idempotent=ruling.non_idempotent or asked.non_idempotent,
        idempotency_key=asked.idempotency_key,
        deadline_s=time.monotonic() + asked.within_s,
        fingerprint=hashlib.blake2b(seen, digest_size=16).hexdigest(),
        streamed=streamed,
        without_key=ruling.without_key,
    )


async def _refuse_method(
    request: Request, answer: _Answer, allowed: tuple[str, ...]
) -> bool:
    """Answer OPTIONS, and refuse what is not allowed; tell whether it did."""
    if request.method in allowed:
        return False
    header = (b"allow", ", ".join((*allowed, "OPTIONS")).encode())
    if request.method == "OPTIONS":
        await answer(
            {"type": "http.response.start", "status": 204, "headers": [header]}
        )
        await answer({"type": "http.response.body", "body": b""})
        return True
    text = f"{request.method} is not allowed here"
    raise RefusedError(Reason.METHOD_NOT_ALLOWED, text, [header])


async def _lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        if message["type"] == "lifespan.startup":
            await send({"type": "lifespan.startup.complete"})
        else:
            await send({"type": "lifespan.shutdown.complete"})
            return
