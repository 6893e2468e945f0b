"""Stand-in of the key-value service: etcd's v3 JSON gateway, in memory."""

import base64
import json
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import anyio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

MAX_VALUE_BYTES = 1 << 20
WATCH_POLL_S = 0.05


@dataclass(slots=True)
class _Value:
    data: str
    revision: int
    lease: str


@dataclass(slots=True)
class _Lease:
    ttl_s: float
    ends_s: float


@dataclass(slots=True)
class Faults:
    """Faults a test may switch on.

    Parameters
    ----------
    down : bool
        No call is answered or carried out.
    lose_replies : int
        This many next writes take effect but are not answered.
    delay_s : float
        Added to each call.
    """

    down: bool = False
    lose_replies: int = 0
    delay_s: float = 0.0


@dataclass(slots=True)
class KeyValueStandIn:
    """Keys are kept as base64 text, in which they come and go."""

    values: dict[bytes, _Value] = field(default_factory=dict)
    leases: dict[str, _Lease] = field(default_factory=dict)
    history: list[tuple[int, bytes]] = field(default_factory=list)
    faults: Faults = field(default_factory=Faults)
    revision: int = 0
    calls: dict[str, int] = field(default_factory=dict)

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
                Route("/calls", self._show_calls),
            ]
        )

    async def _begin(self, request: Request, kind: str) -> dict[str, Any] | None:
        self.calls[kind] = self.calls.get(kind, 0) + 1
        await anyio.sleep(self.faults.delay_s)
        if self.faults.down:
            return None
        self._expire()
        return json.loads(await request.body())

    def _expire(self) -> None:
        now_s = time.monotonic()
        for name, lease in list(self.leases.items()):
            if lease.ends_s <= now_s:
                self._drop_lease(name)

    def _drop_lease(self, name: str) -> None:
        del self.leases[name]
        for key, value in list(self.values.items()):
            if value.lease == name:
                self._delete(key)

    def _delete(self, key: bytes) -> None:
        if key in self.values:
            self.revision += 1
            del self.values[key]
            self.history.append((self.revision, key))

    async def _range(self, request: Request) -> Response:
        body = await self._begin(request, "read")
        if body is None:
            return _unavailable()
        first = base64.b64decode(body["key"])
        if "range_end" in body:
            end = base64.b64decode(body["range_end"])
            keys = sorted(key for key in self.values if first <= key < end)
        else:
            keys = [first] if first in self.values else []
        pairs = [self._pair(key) for key in keys]
        return JSONResponse({"kvs": pairs, "count": str(len(pairs))})

    def _pair(self, key: bytes) -> dict[str, str]:
        value = self.values[key]
        return {
            "key": base64.b64encode(key).decode(),
            "value": value.data,
            "mod_revision": str(value.revision),
        }

    async def _txn(self, request: Request) -> Response:
        body = await self._begin(request, "write")
        if body is None:
            return _unavailable()
        succeeded = all(self._holds(compare) for compare in body.get("compare", []))
        if succeeded:
            self._apply(body.get("success", []))
        if self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            return _unavailable()
        return JSONResponse({"succeeded": succeeded})

    def _holds(self, compare: dict[str, Any]) -> bool:
        value = self.values.get(base64.b64decode(compare["key"]))
        revision = value.revision if value else 0
        return revision == int(compare["mod_revision"])

    def _apply(self, operations: list[dict[str, Any]]) -> None:
        self.revision += 1
        for operation in operations:
            if "request_put" in operation:
                put = operation["request_put"]
                key = base64.b64decode(put["key"])
                lease = str(put.get("lease", "0"))
                self.values[key] = _Value(put["value"], self.revision, lease)
                self.history.append((self.revision, key))
            else:
                deleted = operation["request_delete_range"]
                self._delete(base64.b64decode(deleted["key"]))

    async def _grant(self, request: Request) -> Response:
        body = await self._begin(request, "write")
        if body is None:
            return _unavailable()
        name = str(1000 + self.revision * 7919 + len(self.leases))
        ttl_s = float(body["TTL"])
        self.leases[name] = _Lease(ttl_s, time.monotonic() + ttl_s)
        self.revision += 1
        return JSONResponse({"ID": name, "TTL": body["TTL"]})

    async def _keep(self, request: Request) -> Response:
        body = await self._begin(request, "write")
        if body is None:
            return _unavailable()
        lease = self.leases.get(str(body["ID"]))
        if lease is None:
            return JSONResponse({"result": {"ID": body["ID"], "TTL": "0"}})
        lease.ends_s = time.monotonic() + lease.ttl_s
        return JSONResponse({"result": {"ID": body["ID"], "TTL": str(lease.ttl_s)}})

    async def _revoke(self, request: Request) -> Response:
        body = await self._begin(request, "write")
        if body is None:
            return _unavailable()
        if str(body["ID"]) in self.leases:
            self._drop_lease(str(body["ID"]))
        return JSONResponse({})

    async def _watch(self, request: Request) -> Response:
        body = await self._begin(request, "watch")
        if body is None:
            return _unavailable()
        created = body["create_request"]
        return StreamingResponse(self._changes(created), media_type="application/json")

    async def _changes(self, created: dict[str, Any]) -> AsyncIterator[str]:
        first = base64.b64decode(created["key"])
        end = base64.b64decode(created["range_end"])
        seen = int(created.get("start_revision", 1)) - 1
        yield json.dumps({"result": {"created": True}}) + "\n"
        while not self.faults.down:
            events = [
                {"kv": {"key": base64.b64encode(key).decode()}}
                for revision, key in self.history
                if revision > seen and first <= key < end
            ]
            seen = self.revision
            if events:
                yield json.dumps({"result": {"events": events}}) + "\n"
            await anyio.sleep(WATCH_POLL_S)

    async def _set_faults(self, request: Request) -> Response:
        for name, value in json.loads(await request.body()).items():
            setattr(self.faults, name, value)
        return JSONResponse({})

    async def _show_calls(self, request: Request) -> Response:
        return JSONResponse(self.calls)


def _unavailable() -> Response:
    return JSONResponse({"error": "etcdserver: request timed out"}, status_code=503)
