"""Stand-ins of servers, and configurations that name their services."""

import asyncio
import json
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Any

from store import Store
from wire import Record, Request, pack, read_request, reset

__all__ = [
    "HOST",
    "MODEL",
    "EngineServer",
    "Order",
    "PlainServer",
    "engine_service",
    "pack_configuration",
    "plain_route",
    "plain_service",
    "stream_route",
]

HOST = "ficu95.example"
MODEL = "daka510000"
HEARTBEAT_S = 1.2
ADAPTER_LOAD_S = 0.25
EVENT_INTERVAL_S = 0.02
EVENTS = 5


class Server(ABC):
    """A server of one service, which writes its entry into the store.

    Parameters
    ----------
    store : Store
        The platform's store.
    record : Record
        Record of the case.
    name : str
        Its id.
    service, zone : str
        Its service, and the zone of its machine.
    """

    def __init__(
        self, store: Store, record: Record, name: str, service: str, zone: str
    ) -> None:
        self.name = name
        self._store, self._record = store, record
        self._service, self._zone = service, zone
        self._address = ""
        self._listener: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()

    async def start(self, ip: str) -> None:
        """Listen, and write the entry."""
        self._listener = await asyncio.start_server(self._serve, ip, 0)
        self._address = f"{ip}:{self._listener.sockets[0].getsockname()[1]}"
        self.write_entry()

    def write_entry(self) -> None:
        """Write the entry into the store."""
        self._store.put(f"servers/{self.name}", json.dumps(self._entry()).encode())

    def remove_entry(self) -> None:
        """Remove the entry from the store."""
        self._store.remove(f"servers/{self.name}")

    def _entry(self) -> dict[str, Any]:
        return {
            "service": self._service,
            "address": self._address,
            "zone": self._zone,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 0,
        }

    def exit(self) -> None:
        """End all connections and the listener, as the end of a process does."""
        if self._listener is not None:
            self._listener.close()
        for writer in list(self._open):
            reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._open.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                await self._answer(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._open.discard(writer)
            writer.close()

    async def _answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        identity = {"Instance-Id": self.name}
        if request.headers.get("expect-instance") not in (None, self.name):
            writer.write(pack(421, identity, b""))
        elif request.target == "/health":
            writer.write(pack(200, identity, b""))
        else:
            await self._answer_request(request, writer)

    @abstractmethod
    async def _answer_request(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a request that is for this server."""


class PlainServer(Server):
    """A server of an application service.

    Attributes
    ----------
    runs : list of (float, str)
        When it began to run each request, and the request's id.
    unfinished : set of str
        Requests that it runs.
    """

    work_s = 0.09

    def __init__(
        self, store: Store, record: Record, name: str, service: str, zone: str
    ) -> None:
        super().__init__(store, record, name, service, zone)
        self.runs: list[tuple[float, str]] = []
        self.unfinished: set[str] = set()

    async def _answer_request(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        call = request.headers.get("request-id", "")
        self._record.write(f"{self.name}: runs {call}")
        self.runs.append((self._record.now_s(), call))
        self.unfinished.add(call)
        await asyncio.sleep(self.work_s)
        if writer in self._open and not writer.is_closing():
            self.unfinished.discard(call)
        head = {"Request-Id": call, "Response-Seal": f"seal-{call}"}
        head["Instance-Id"] = self.name
        writer.write(pack(200, head, call.encode().ljust(800)))


@dataclass(slots=True, frozen=True)
class Order:
    """An order that a model server has received."""

    at_s: float
    holder: str
    token: int
    text: str
    status: int


class EngineServer(Server):
    """A model server that holds one model, and adapters as it is ordered to.

    Attributes
    ----------
    orders : list of Order
        All orders that arrived, in their order.
    """

    def __init__(
        self, store: Store, record: Record, name: str, service: str, zone: str
    ) -> None:
        super().__init__(store, record, name, service, zone)
        self.orders: list[Order] = []
        self._seq = 0
        self._adapters: dict[str, int] = {}
        self._coming: dict[str, int] = {}
        self._running: dict[str, int] = {}

    async def beat(self) -> None:
        """Write the entry as it changes, until cancelled."""
        written = self._models()
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self._models() != written:
                written = self._models()
                self.write_entry()

    def _models(self) -> list[dict[str, Any]]:
        held = sorted(f"{name}@{version}" for name, version in self._adapters.items())
        return [{"name": MODEL, "version": 1, "adapters": held}]

    def _entry(self) -> dict[str, Any]:
        changes = {"slots": 64, "stage": "both", "models": self._models()}
        return super()._entry() | changes | {"seq": self._seq}

    async def _answer_request(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        if request.target == "/v1/report":
            body = json.dumps(self._report()).encode()
            writer.write(pack(200, {"Content-Type": "application/json"}, body))
        elif request.target == "/v1/order":
            writer.write(pack(self._take_order(json.loads(request.body)), {}, b"{}"))
        else:
            await self._stream(request, writer)

    def _report(self) -> dict[str, Any]:
        return {
            "stage": "both",
            "models": self._models(),
            "busy": False,
            "seq": self._seq,
            "queued": 0,
            "running": sum(self._running.values()),
            "kv_used": 0,
            "kv_total": 141_396,
            "handles": 0,
            "coming": [f"{MODEL}/{name}@{v}" for name, v in self._coming.items()],
        }

    def _take_order(self, order: dict[str, Any]) -> int:
        status = self._carry_out(order)
        text = f"{order['operation']} {order.get('adapter', '')}"
        holder, token = order["holder"], int(order["fencing_token"])
        found = Order(self._record.now_s(), holder, token, text, status)
        self.orders.append(found)
        self._record.write(
            f"{self.name}: order {text}, holder {holder}, token {token} -> {status}"
        )
        return status

    def _carry_out(self, order: dict[str, Any]) -> int:
        if order.get("expected") not in (None, self._seq):
            return 409
        name = order.get("adapter")
        if name is None:
            # The model is held from the start.
            return 200
        if order["operation"] == "unload":
            if self._running.get(name):
                return 409
            self._adapters.pop(name, None)
            self._seq += 1
            return 200
        version = int(order.get("version") or 1)
        if self._adapters.get(name) == version:
            return 200
        self._seq += 1
        self._coming[name] = version
        asyncio.get_running_loop().call_later(ADAPTER_LOAD_S, self._end_load, name)
        return 202

    def _end_load(self, name: str) -> None:
        if name in self._coming:
            self._adapters[name] = self._coming.pop(name)

    async def _stream(self, request: Request, writer: asyncio.StreamWriter) -> None:
        call = request.headers.get("request-id", "")
        adapter = request.headers.get("model", "").partition("/")[2]
        identity = {"Request-Id": call, "Instance-Id": self.name}
        if adapter and adapter not in self._adapters:
            writer.write(pack(421, identity, b""))
            return
        self._record.write(f"{self.name}: runs {call} on {adapter}")
        self._running[adapter] = self._running.get(adapter, 0) + 1
        try:
            writer.write(_pack_stream_head(call))
            first = int(request.headers.get("last-event-id", 0)) + 1
            for number in range(first, EVENTS + 1):
                event = f"id: {number}\ndata: {call} {number}\n\n".encode()
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(EVENT_INTERVAL_S)
            writer.write(b"0\r\n\r\n")
        finally:
            self._running[adapter] -= 1


def _pack_stream_head(call: str) -> bytes:
    lines = [
        "HTTP/1.1 200 OK",
        f"Request-Id: {call}",
        f"Response-Seal: seal-{call}",
        "Weight-Versions: 1",
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def pack_configuration(
    version: int, routes: list[dict[str, Any]], services: list[dict[str, Any]]
) -> bytes:
    """Encode a configuration as the operator writes it."""
    limits = {
        "max_header_bytes": 16_384,
        "max_body_bytes": 4_194_304,
        "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    }
    fields = {"version": version, "routes": routes, "services": services}
    return json.dumps(fields | {"limits": limits}).encode()


def engine_service(name: str) -> dict[str, Any]:
    """Return a service of model servers, as on the sheet of the first deployment."""
    model = {
        "name": MODEL,
        "weights_mb": 65_500,
        "load_time_s": 2.9,
        "adapters": 3_000,
        "adapter_mb": 40,
    }
    engine = {
        "slots": 64,
        "kv_tokens": 141_396,
        "adapter_slots": 20,
        "weights_mb": 68_000,
        "loads_per_s": 3.1,
        "models": [model],
    }
    return {"name": name, "health_path": "/health", "max_conns": 360, "engine": engine}


def plain_service(name: str) -> dict[str, Any]:
    """Return an application service."""
    return {"name": name, "health_path": "/health", "max_conns": 110}


def stream_route(service: str, path: str) -> dict[str, Any]:
    """Return a route of streams that may be resumed."""
    return _route(service, path, "streaming", 15_000, 600) | {
        "sticky": True,
        "resumable": True,
        "gap_aim_ms": 250,
        "max_attempts": 2,
    }


def plain_route(service: str, path: str) -> dict[str, Any]:
    """Return a route whose requests may run once only."""
    return _route(service, path, "non_idempotent", 3_000, 400)


def _route(
    service: str, path: str, kind: str, timeout_ms: int, target_ms: int
) -> dict[str, Any]:
    return {
        "name": f"r{path.replace('/', '-')}{service}",
        "host": HOST,
        "path_prefix": path,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": target_ms,
        "priority": 1,
        "service": service,
        "max_attempts": 1,
        "sticky": False,
        "resumable": False,
    }
