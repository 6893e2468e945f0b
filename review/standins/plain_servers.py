"""Stand-in of a plain service's servers, and of its clients."""

import asyncio
import random
import time
from dataclasses import dataclass, field
from typing import Any

from http1 import Connection, Request, Server, pack
from machines import Record
from store import Store

BEAT_S = 1.2


class PlainServer:
    """A server with slots and a short queue, which sheds what it has no room for.

    While `extra_share` is above zero, that share of its answers is sent a second time,
    late: where the next response on the connection is expected.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        store: Store,
        record: Record,
        luck: random.Random,
        *,
        slots: int = 6,
        queue: int = 6,
        work_s: float = 0.09,
    ) -> None:
        self.name, self.service, self.zone = name, service, zone
        self.extra_share = 0.0
        self.extras_sent = 0
        self.runs: dict[str, int] = {}
        self._store, self._record, self._luck = store, record, luck
        self._slots, self._queue, self._work_s = slots, queue, work_s
        self._free = asyncio.Semaphore(slots)
        self._taken = 0
        self._server = Server(self.handle)
        self._born_ms = int(time.time() * 1000)

    async def start(self, ip: str) -> None:
        """Listen, and register in the store."""
        await self._server.start(ip)
        self._task = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        seq = 0
        while True:
            seq += 1
            entry = {
                "service": self.service,
                "address": self._server.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self._slots,
                "state": "ready",
                "cold_left_ms": 0,
                "seq": seq,
                "born": self._born_ms,
            }
            self._store.put(f"servers/{self.name}", entry)
            await asyncio.sleep(BEAT_S)

    async def handle(self, connection: Connection, request: Request) -> None:
        """Answer one request."""
        extra = connection.notes.pop("extra", None)
        if extra is not None:
            self.extras_sent += 1
            self._record.note("second answer sent", server=self.name, to=extra[0])
            await connection.send(extra[1])
        call = request.headers.get("request-id", "")
        status, headers, body = await self._answer(request, call)
        if call:
            headers["Request-Id"] = call
        packed = pack(status, headers, body)
        await connection.send(packed)
        if call and self._luck.random() < self.extra_share:
            connection.notes["extra"] = (call, packed)

    async def _answer(
        self, request: Request, call: str
    ) -> tuple[int, dict[str, str], bytes]:
        if request.headers.get("expect-instance") not in (None, self.name):
            return 421, {"Not-Run": "1", "Instance-Id": self.name}, b""
        if request.path == "/health":
            return 200, {"Instance-Id": self.name}, b""
        if self._taken >= self._slots + self._queue:
            self._record.note("shed", server=self.name, call=call)
            return 503, {"Not-Run": "1"}, b""
        self._taken += 1
        try:
            async with self._free:
                self.runs[call] = self.runs.get(call, 0) + 1
                self._record.note("runs", server=self.name, call=call)
                await asyncio.sleep(self._luck.uniform(0.5, 1.5) * self._work_s)
        finally:
            self._taken -= 1
        return 200, {"Response-Seal": f"seal.{self.name}"}, b"done " + call.encode()


@dataclass
class Outcomes:
    """The last status that each request got; 0: the connection ended."""

    by_call: dict[str, int] = field(default_factory=dict)


async def send_request(
    address: str, target: str, headers: dict[str, Any], longest_s: float
) -> tuple[int, bytes]:
    """Send one request on a new connection; status 0: no whole answer came."""
    ip, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(longest_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            try:
                lines = [f"POST {target} HTTP/1.1", "Content-Length: 0"]
                lines += [f"{name}: {value}" for name, value in headers.items()]
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                status = int(head.split(" ", 2)[1])
                length = 0
                for line in head.split("\r\n"):
                    name, _, value = line.partition(":")
                    if name.lower() == "content-length":
                        length = int(value)
                return status, await reader.readexactly(length)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b""
