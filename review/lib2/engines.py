"""A stand-in of a model server that holds adapters."""

import asyncio
import json
from dataclasses import dataclass

from platform_standins import Record, Request, Server, now_s, pack

BASE = "base"
PLACES = 4
LOAD_S = 0.25


@dataclass
class Order:
    """An order as it arrived."""

    at_s: float
    holder: str
    token: int
    status: int


class Engine(Server):
    """A sound model server that does not check fencing tokens."""

    def __init__(self, name: str, service: str, record: Record) -> None:
        super().__init__(name, service, record)
        self.held: dict[str, int] = {}
        self.coming: dict[str, int] = {}
        self.users: dict[str, int] = {}
        self.orders: list[Order] = []
        self.accepted = 0
        self.events = 20
        self.event_s = 0.02
        self.piece = "piece"

    def models(self) -> list[dict[str, object]]:
        """Return the models that it holds, as it reports them."""
        adapters = [f"{name}@{version}" for name, version in self.held.items()]
        return [{"name": BASE, "version": 1, "adapters": adapters}]

    def entry(self) -> dict[str, object]:
        """See `Server.entry`."""
        return {**super().entry(), "stage": "both", "models": self.models()}

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """See `Server.handle`."""
        if request.target == "/v1/report":
            writer.write(pack(200, {"Content-Type": "application/json"}, self.report()))
        elif request.target == "/v1/order":
            self.take_order(request, writer)
        else:
            return await super().handle(request, writer)
        await writer.drain()
        return True

    def report(self) -> bytes:
        """Return the report of its state."""
        coming = [f"{BASE}/{name}@{version}" for name, version in self.coming.items()]
        return json.dumps(
            {
                "stage": "both",
                "models": self.models(),
                "busy": False,
                "seq": self.accepted,
                "queued": 0,
                "running": sum(self.users.values()),
                "kv_used": 0,
                "kv_total": 90000,
                "handles": 0,
                "coming": coming,
                "born": self.born,
            }
        ).encode()

    def take_order(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Carry an order out, or refuse it."""
        order = json.loads(request.body)
        status = self._status_of(request, order)
        token = int(order["fencing_token"])
        self.orders.append(Order(now_s(), order["holder"], token, status))
        self.record.note(
            f"order at {self.name} by {order['holder']} token {token}:"
            f" {order['operation']} {order.get('adapter', '')} -> {status}"
        )
        if status in (200, 202):
            self._carry_out(order)
        writer.write(pack(status, {"Content-Type": "application/json"}, b"{}"))

    def _status_of(self, request: Request, order: dict) -> int:
        if request.header("Expect-Instance") not in (None, self.name):
            return 421
        if order.get("expected", self.accepted) != self.accepted:
            return 409
        name = order.get("adapter")
        if order["operation"] == "unload":
            return 200 if not self.users.get(name) else 202
        return 200 if name in self.held else 202

    def _carry_out(self, order: dict) -> None:
        self.accepted += 1
        name = order.get("adapter")
        if not name:
            return
        if order["operation"] == "unload":
            self.held.pop(name, None)
            return
        if name not in self.held:
            self.coming[name] = int(order.get("version") or 1)
            asyncio.get_running_loop().call_later(LOAD_S, self._loaded, name)

    def _loaded(self, name: str) -> None:
        self.held[name] = self.coming.pop(name, 1)

    async def run(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """See `Server.run`."""
        name = (request.header("Model") or "").partition("/")[2]
        if name not in self.held:
            writer.write(self.not_run(request, 421))
            return
        call = request.header("Request-Id") or ""
        self.runs.append(call)
        self.users[name] = self.users.get(name, 0) + 1
        try:
            await self._stream(request, writer)
        finally:
            self.users[name] -= 1

    async def _stream(self, request: Request, writer: asyncio.StreamWriter) -> None:
        headers = {
            **self.sealed(request),
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        lines = ["HTTP/1.1 200 OK", *(f"{k}: {v}" for k, v in headers.items())]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(1, self.events + 1):
            event = f"id: {number}\ndata: {self.piece}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")


def engine_service(name: str) -> dict[str, object]:
    """Return a service of model servers, as the configuration has it."""
    model = {
        "name": BASE,
        "weights_mb": 1000,
        "load_time_s": 1.0,
        "adapters": 3000,
        "adapter_mb": 10,
    }
    return {
        "name": name,
        "health_path": "/health",
        "max_conns": 360,
        "engine": {
            "slots": 64,
            "kv_tokens": 141396,
            "models": [model],
            "weights_mb": 1100,
            "adapter_slots": PLACES,
            "loads_per_s": 3.1,
        },
    }
