"""Stand-in of the key-value service: etcd's v3 JSON gateway, in memory."""

import base64
import json
import random
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import anyio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from knapweedbridge_standins.contents import Change, Contents, Value
from knapweedbridge_standins.faults import set_faults
from knapweedbridge_standins.limits import RateLimit

MAX_VALUE_BYTES = 1 << 20
WRITES_PER_S = 400.0
READS_PER_S = 2000.0
LONGEST_WAIT_S = 1.0


class CallRefusedError(Exception):
    """The service refuses a call without carrying it out.

    Parameters
    ----------
    message : str
        What the gateway says.
    status : int
        HTTP status.
    """

    def __init__(self, message: str, status: int) -> None:
        super().__init__(message)
        self.status = status


@dataclass(slots=True)
class Faults:
    """Faults a test may switch on.

    Parameters
    ----------
    down : bool
        No call is answered or carried out.
    lose_replies : int
        This many next writes take effect but are not answered.
    lose_every : int
        Every so many writes take effect but are not answered; 0: none.
    lose_share : float
        Share of writes that take effect but are not answered, from a seed.
    delay_s : float
        Added to each call.
    """

    down: bool = False
    lose_replies: int = 0
    lose_every: int = 0
    lose_share: float = 0.0
    delay_s: float = 0.0


@dataclass(slots=True)
class KeyValueStandIn:
    """The service; a watch counts as one call.

    Parameters
    ----------
    writes_per_s, reads_per_s : float
        Calls a second beyond which calls are refused; 0: any number.
    seed : int
        Chooses the replies that are lost.
    """

    writes_per_s: float = WRITES_PER_S
    reads_per_s: float = READS_PER_S
    seed: int = 0
    contents: Contents = field(default_factory=Contents)
    faults: Faults = field(default_factory=Faults)
    calls: dict[str, int] = field(default_factory=dict)
    watching: int = 0
    _saved: Contents = field(default_factory=Contents)
    _limits: dict[str, RateLimit] = field(init=False)
    _random: random.Random = field(init=False)
    _changed: anyio.Event = field(default_factory=anyio.Event)
    _restores: int = 0

    def __post_init__(self) -> None:
        writes, reads = RateLimit(self.writes_per_s), RateLimit(self.reads_per_s)
        self._limits = {"write": writes, "read": reads, "watch": reads}
        self._random = random.Random(self.seed)

    @property
    def values(self) -> dict[bytes, Value]:
        """The keys as they stand."""
        return self.contents.values

    def app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/v3/kv/range", self._range, methods=["POST"]),
                Route("/v3/kv/txn", self._txn, methods=["POST"]),
                Route("/v3/lease/grant", self._grant, methods=["POST"]),
                Route("/v3/lease/keepalive", self._keep, methods=["POST"]),
                Route("/v3/lease/revoke", self._revoke, methods=["POST"]),
                Route("/v3/watch", self._watch, methods=["POST"]),
                Route("/faults", self._set_faults, methods=["POST"]),
                Route("/save", self._save, methods=["POST"]),
                Route("/restore", self._restore, methods=["POST"]),
                Route("/calls", self._show_calls),
            ],
            exception_handlers={CallRefusedError: _refuse},
        )

    async def _begin(self, request: Request, kind: str) -> dict[str, Any]:
        self.calls[kind] = self.calls.get(kind, 0) + 1
        await anyio.sleep(self.faults.delay_s)
        if self.faults.down:
            raise CallRefusedError("etcdserver: request timed out", 503)
        if not self._limits[kind].take(time.monotonic()):
            self.calls["refused"] = self.calls.get("refused", 0) + 1
            raise CallRefusedError("etcdserver: too many requests", 429)
        body = json.loads(await request.body())
        self._expire()
        return body

    def _expire(self) -> None:
        if self.contents.expire(time.monotonic()):
            self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def _reply(self, answer: dict[str, Any]) -> Response:
        """Answer a write, or lose the reply although the write took effect."""
        writes = self.calls["write"]
        lost = self._random.random() < self.faults.lose_share
        lost = lost or bool(
            self.faults.lose_every and writes % self.faults.lose_every == 0
        )
        if self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            lost = True
        if lost:
            self.calls["replies_lost"] = self.calls.get("replies_lost", 0) + 1
            raise CallRefusedError("etcdserver: request timed out", 503)
        return JSONResponse(answer)

    async def _range(self, request: Request) -> Response:
        body = await self._begin(request, "read")
        return JSONResponse(self._read(body))

    def _read(self, body: dict[str, Any]) -> dict[str, Any]:
        first = base64.b64decode(body["key"])
        if "range_end" in body:
            end = base64.b64decode(body["range_end"])
            keys = sorted(key for key in self.values if first <= key < end)
        else:
            keys = [first] if first in self.values else []
        pairs = [_pair(key, self.values[key]) for key in keys]
        header = {"revision": str(self.contents.revision)}
        return {"header": header, "kvs": pairs, "count": str(len(pairs))}

    async def _txn(self, request: Request) -> Response:
        body = await self._begin(request, "write")
        succeeded = all(self._holds(compare) for compare in body.get("compare", []))
        operations = body.get("success" if succeeded else "failure", [])
        self._check(operations)
        responses = self._apply(operations)
        header = {"revision": str(self.contents.revision)}
        return self._reply(
            {"header": header, "succeeded": succeeded, "responses": responses}
        )

    def _holds(self, compare: dict[str, Any]) -> bool:
        value = self.values.get(base64.b64decode(compare["key"]))
        if compare.get("target") == "VALUE":
            return value is not None and value.data == compare["value"]
        revision = value.revision if value else 0
        return revision == int(compare["mod_revision"])

    def _check(self, operations: list[dict[str, Any]]) -> None:
        for operation in operations:
            put = operation.get("request_put")
            if put is None:
                continue
            if len(base64.b64decode(put["value"])) > MAX_VALUE_BYTES:
                raise CallRefusedError("etcdserver: request is too large", 400)
            lease = str(put.get("lease", "0"))
            if lease != "0" and lease not in self.contents.leases:
                raise CallRefusedError("etcdserver: requested lease not found", 404)

    def _apply(self, operations: list[dict[str, Any]]) -> list[dict[str, Any]]:
        responses: list[dict[str, Any]] = []
        writes = [held for held in operations if "request_range" not in held]
        self.contents.revision += bool(writes)
        for operation in operations:
            if "request_put" in operation:
                put = operation["request_put"]
                key, lease = base64.b64decode(put["key"]), str(put.get("lease", "0"))
                self.contents.put(key, put["value"], lease)
                responses.append({"response_put": {}})
            elif "request_delete_range" in operation:
                deleted = operation["request_delete_range"]
                self.contents.delete(base64.b64decode(deleted["key"]))
                responses.append({"response_delete_range": {}})
            else:
                found = self._read(operation["request_range"])
                responses.append({"response_range": found})
        if writes:
            self._wake()
        return responses

    async def _grant(self, request: Request) -> Response:
        body = await self._begin(request, "write")
        name = self.contents.grant(float(body["TTL"]), time.monotonic())
        return self._reply({"ID": name, "TTL": str(body["TTL"])})

    async def _keep(self, request: Request) -> Response:
        body = await self._begin(request, "write")
        name = str(body["ID"])
        lease = self.contents.leases.get(name)
        if lease is None:
            return self._reply({"result": {"ID": name, "TTL": "0"}})
        lease.ends_s = time.monotonic() + lease.ttl_s
        return self._reply({"result": {"ID": name, "TTL": str(lease.ttl_s)}})

    async def _revoke(self, request: Request) -> Response:
        body = await self._begin(request, "write")
        self.contents.revoke(str(body["ID"]))
        self._wake()
        return self._reply({})

    async def _watch(self, request: Request) -> Response:
        body = await self._begin(request, "watch")
        created = body["create_request"]
        return StreamingResponse(self._changes(created), media_type="application/json")

    async def _changes(self, created: dict[str, Any]) -> AsyncIterator[str]:
        first = base64.b64decode(created["key"])
        end = base64.b64decode(created.get("range_end", "")) or first + b"\0"
        start = int(created.get("start_revision") or self.contents.revision + 1)
        restores = self._restores
        self.watching += 1
        try:
            yield _line({"created": True})
            seen = start - 1
            while not self.faults.down and restores == self._restores:
                changed = self._changed
                if seen < self.contents.compacted():
                    revision = str(self.contents.compacted() + 1)
                    yield _line({"canceled": True, "compact_revision": revision})
                    return
                found = self.contents.changes(seen, first, end)
                seen = max(seen, self.contents.revision)
                if found:
                    yield _line({"events": [_event(change) for change in found]})
                await self._await_change(changed)
        finally:
            self.watching -= 1

    async def _await_change(self, changed: anyio.Event) -> None:
        now_s = time.monotonic()
        lapse_s = self.contents.next_lapse_s()
        wait_s = LONGEST_WAIT_S
        if lapse_s is not None:
            wait_s = min(wait_s, max(0.0, lapse_s - now_s))
        with anyio.move_on_after(wait_s):
            await changed.wait()
        self._expire()

    async def _set_faults(self, request: Request) -> Response:
        answer = await set_faults(self.faults, request)
        self._wake()
        return answer

    async def _save(self, request: Request) -> Response:
        self._saved = self.contents.copy()
        return JSONResponse({"revision": self._saved.revision})

    async def _restore(self, request: Request) -> Response:
        """Bring back what was saved, as from an older copy; watches end."""
        self.contents = self._saved.copy()
        self._restores += 1
        self._wake()
        return JSONResponse({"revision": self.contents.revision})

    async def _show_calls(self, request: Request) -> Response:
        return JSONResponse({**self.calls, "watching": self.watching})


def _pair(key: bytes, value: Value) -> dict[str, str]:
    return {
        "key": base64.b64encode(key).decode(),
        "value": value.data,
        "mod_revision": str(value.revision),
        "lease": value.lease,
    }


def _event(change: Change) -> dict[str, Any]:
    if change.value is not None:
        return {"type": "PUT", "kv": _pair(change.key, change.value)}
    key = base64.b64encode(change.key).decode()
    return {"type": "DELETE", "kv": {"key": key, "mod_revision": str(change.revision)}}


def _line(result: dict[str, Any]) -> str:
    return json.dumps({"result": result}) + "\n"


async def _refuse(request: Request, error: Exception) -> Response:
    assert isinstance(error, CallRefusedError)
    return JSONResponse({"error": str(error)}, status_code=error.status)
