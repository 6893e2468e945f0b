"""Stand-in of a model server: adapters, orders, reports and streams."""

import asyncio
import time
from dataclasses import dataclass
from typing import Any

from http1 import Connection, Request, Server
from machines import Record
from store import Store

BEAT_S = 1.2
LOAD_S = 0.25
EVENTS, EVENT_S = 12, 0.02


@dataclass(slots=True, frozen=True)
class SeenOrder:
    """An order as it arrived at an engine."""

    at_s: float
    holder: str
    token: int


class Engine:
    """A model server that holds one base model and some adapters."""

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        store: Store,
        record: Record,
        places: int,
    ) -> None:
        self.name, self.service, self.zone = name, service, zone
        self.orders: list[SeenOrder] = []
        self.most_held = 0
        self._store, self._record, self._places = store, record, places
        self._held: dict[str, float] = {}
        self._users: dict[str, int] = {}
        self._seq = self._beats = 0
        self._server = Server(self.handle)
        self._born_ms = int(time.time() * 1000)

    async def start(self, ip: str) -> None:
        """Listen, and register in the store."""
        await self._server.start(ip)
        self._task = asyncio.create_task(self._beat())

    def _models(self) -> list[dict[str, Any]]:
        now_s = time.monotonic()
        adapters = [f"{n}@1" for n, ready_s in self._held.items() if ready_s <= now_s]
        return [{"name": "base", "version": 1, "adapters": adapters}]

    async def _beat(self) -> None:
        while True:
            self._beats += 1
            entry = {
                "service": self.service,
                "address": self._server.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 64,
                "state": "ready",
                "cold_left_ms": 0,
                "seq": self._beats,
                "born": self._born_ms,
                "stage": "both",
                "models": self._models(),
            }
            if not self._store.is_down:
                self._store.put(f"servers/{self.name}", entry)
            await asyncio.sleep(BEAT_S)

    async def handle(self, connection: Connection, request: Request) -> None:
        """Answer one request."""
        expected = request.headers.get("expect-instance")
        if expected not in (None, self.name):
            refusal = {"Not-Run": "1", "Instance-Id": self.name}
            await connection.answer(421, refusal)
        elif request.path == "/v1/report":
            await connection.answer_json(200, self._report())
        elif request.path == "/v1/order":
            await connection.answer(self._order(request.json()))
        elif request.path == "/health":
            await connection.answer(200, {"Instance-Id": self.name})
        else:
            await self._stream(connection, request)

    def _report(self) -> dict[str, Any]:
        now_s = time.monotonic()
        coming = [f"base/{n}@1" for n, ready_s in self._held.items() if ready_s > now_s]
        return {
            "stage": "both",
            "models": self._models(),
            "coming": coming,
            "busy": False,
            "seq": self._seq,
            "queued": 0,
            "running": sum(self._users.values()),
            "kv_used": 0,
            "kv_total": 100_000,
            "handles": 0,
            "born": self._born_ms,
        }

    def _order(self, order: dict[str, Any]) -> int:
        seen = SeenOrder(self._record.now_s, order["holder"], order["fencing_token"])
        self.orders.append(seen)
        status = self._carry_out(order)
        self._record.note(
            "order",
            server=self.name,
            holder=seen.holder,
            token=seen.token,
            operation=order["operation"],
            adapter=order.get("adapter"),
            expected=order.get("expected"),
            status=status,
        )
        return status

    def _carry_out(self, order: dict[str, Any]) -> int:
        if order.get("expected", self._seq) != self._seq:
            return 409
        adapter = order.get("adapter")
        if adapter is None:
            return 200
        if order["operation"] == "unload":
            if self._users.get(adapter):
                return 409
            self._held.pop(adapter, None)
        elif adapter not in self._held:
            self._held[adapter] = time.monotonic() + LOAD_S
            self.most_held = max(self.most_held, len(self._held))
        self._seq += 1
        return 200 if order["operation"] == "unload" else 202

    async def _stream(self, connection: Connection, request: Request) -> None:
        call = request.headers.get("request-id", "")
        adapter = request.headers.get("model", "").partition("/")[2]
        ready_s = self._held.get(adapter)
        if adapter and (ready_s is None or ready_s > time.monotonic()):
            await connection.answer(421, {"Not-Run": "1", "Request-Id": call})
            return
        self._users[adapter] = self._users.get(adapter, 0) + 1
        self._record.note("runs", server=self.name, call=call, adapter=adapter)
        try:
            head = (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"Request-Id: {call}\r\nResponse-Seal: seal.{self.name}\r\n"
                "Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            await connection.send(head.encode())
            first = int(request.headers.get("last-event-id", 0)) + 1
            for number in range(first, EVENTS + 1):
                event = f"id: {number}\ndata: t{number}\n\n".encode()
                await connection.send(b"%x\r\n%b\r\n" % (len(event), event))
                await asyncio.sleep(EVENT_S)
            await connection.send(b"0\r\n\r\n")
        finally:
            self._users[adapter] -= 1


async def send_stream(
    address: str, target: str, headers: dict[str, Any], longest_s: float
) -> tuple[int, int]:
    """Send one request for a stream; return its status and number of events."""
    ip, _, port = address.rpartition(":")
    status = events = 0
    try:
        async with asyncio.timeout(longest_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            try:
                lines = [f"POST {target} HTTP/1.1", "Content-Length: 0"]
                lines += [f"{name}: {value}" for name, value in headers.items()]
                lines.append("Connection: close")
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
                head = await reader.readuntil(b"\r\n\r\n")
                status = int(head.split(b" ", 2)[1])
                events = (await reader.read(-1)).count(b"data:")
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    return status, events
