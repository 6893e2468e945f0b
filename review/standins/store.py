"""Stand-in of the platform's store: items, leases, transactions and watches.

Each machine gets an address of its own, so that the store can turn single machines away
and serve the others.
"""

import asyncio
import base64
import json
import time
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from http1 import Connection, Request, Server

CHECK_S = 0.02
PAGE = 400


@dataclass
class Lease:
    """A lease with its end and its keys."""

    ttl_s: float
    ends_s: float
    keys: set[str] = field(default_factory=set)


@dataclass
class Copy:
    """An older copy of the store: its items without leases, and its revision."""

    items: dict[str, tuple[bytes, int, int, int]]
    revision: int


class Store:
    """The store; it turns away the machines in `busy` (503) and `silent` (no answer).

    Calls that are open when it goes away, or come while it is, get no answer. After a
    drill it goes on from an older copy: leases and what hung on them are gone, and the
    era rises by one.
    """

    def __init__(self) -> None:
        self.items: dict[str, tuple[bytes, int, int, int]] = {}
        self.events: list[tuple[str, bytes | None, int]] = []
        self.revision = 1
        self.leases: dict[int, Lease] = {}
        self.busy: set[str] = set()
        self.silent: set[str] = set()
        self.era = 1
        self.is_down = False
        self._aways = 0
        self._next_lease = 100
        self._changed = asyncio.Event()

    async def start(self, ip: str) -> None:
        """Start the clock of the leases."""
        self._ip = ip
        self._task = asyncio.create_task(self._expire())

    async def address_for(self, machine: str) -> str:
        """Return a new address for one machine."""

        async def handle(connection: Connection, request: Request) -> None:
            await self._handle(machine, connection, request)

        server = Server(handle)
        await server.start(self._ip)
        return server.address

    def put(self, key: str, value: Any, lease: int = 0) -> int:
        """Write an item; return its revision."""
        self.revision += 1
        packed = value if isinstance(value, bytes) else json.dumps(value).encode()
        created = self.items[key][3] if key in self.items else self.revision
        self.items[key] = (packed, self.revision, lease, created)
        if lease:
            self.leases[lease].keys.add(key)
        self._tell(key, packed)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._tell(key, None)

    def copy(self) -> Copy:
        """Copy what hangs on no lease."""
        kept = {key: item for key, item in self.items.items() if not item[2]}
        return Copy(kept, self.revision)

    def go_away(self) -> None:
        """Stop answering, also the calls that are open now."""
        self.is_down = True
        self._aways += 1

    def come_back(self, copy: Copy) -> None:
        """Go on from an older copy."""
        self.is_down = False
        self.items = dict(copy.items)
        self.revision = copy.revision
        self.events = [each for each in self.events if each[2] <= copy.revision]
        self.leases = {}
        self.era += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def _tell(self, key: str, value: bytes | None) -> None:
        self.events.append((key, value, self.revision))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(CHECK_S)
            if self.is_down:
                continue
            now_s = time.monotonic()
            for name, lease in list(self.leases.items()):
                if lease.ends_s < now_s:
                    self._end(name)

    def _end(self, name: int) -> None:
        lease = self.leases.pop(name)
        for key in sorted(lease.keys):
            if key in self.items and self.items[key][2] == name:
                self.remove(key)

    async def _handle(
        self, machine: str, connection: Connection, request: Request
    ) -> None:
        aways = self._aways
        await self._check_away(machine, aways)
        if machine in self.busy:
            await connection.answer(503, self._told_era)
            return
        url = urlsplit(request.target)
        query = {key: each[0] for key, each in parse_qs(url.query).items()}
        name = url.path.rsplit("/", 1)[-1]
        status, found = 404, {}
        if url.path == "/v1/kv-range":
            status, found = 200, self._range(query)
        elif url.path == "/v1/kv-watch":
            status, found = await self._watch(machine, query)
        elif url.path == "/v1/kv-txn":
            status, found = self._transact(request.json())
        elif url.path == "/v1/kv-lease":
            status, found = 200, self._grant(request.json()["ttl_ms"])
        elif url.path.startswith("/v1/kv-keep/") and int(name) in self.leases:
            lease = self.leases[int(name)]
            lease.ends_s = time.monotonic() + lease.ttl_s
            status, found = 200, {"ttl_ms": int(lease.ttl_s * 1000)}
        await self._check_away(machine, aways)
        await connection.answer_json(status, found, self._told_era)

    @property
    def _told_era(self) -> dict[str, str]:
        return {"Store-Era": str(self.era)}

    async def _check_away(self, machine: str, aways: int) -> None:
        """Leave a call without an answer if the store went away since it came."""
        if self.is_down or self._aways != aways or machine in self.silent:
            await asyncio.sleep(3600)

    def _item(self, key: str) -> dict[str, Any]:
        value, revision, lease, created = self.items[key]
        packed = base64.b64encode(value).decode()
        return {
            "key": key,
            "value": packed,
            "revision": revision,
            "created": created,
            "lease": lease,
        }

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, after = query.get("path_prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = keys[:PAGE]
        return {
            "items": [self._item(key) for key in page],
            "more_pages": len(keys) > len(page),
            "current_rev": self.revision,
        }

    async def _watch(self, machine: str, query: dict[str, str]) -> tuple[int, dict]:
        prefix, after = query.get("path_prefix", ""), int(query["after"])
        if after > self.revision:
            return 410, {}
        ends_s = time.monotonic() + int(query["wait_ms"]) / 1000
        era = self.era
        while not self._since(prefix, after):
            if self.era != era:
                return 410, {}
            left_s = ends_s - time.monotonic()
            if left_s <= 0 or machine in self.busy:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), min(left_s, 0.2))
            except TimeoutError:
                continue
        events = [
            {"key": key, "revision": revision, "deleted": True}
            if value is None
            else {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": revision,
                "created": revision,
                "lease": 0,
            }
            for key, value, revision in self._since(prefix, after)
        ]
        return 200, {"events": events, "current_rev": self.revision}

    def _since(self, prefix: str, after: int) -> list[tuple[str, bytes | None, int]]:
        return [e for e in self.events if e[2] > after and e[0].startswith(prefix)]

    def _grant(self, ttl_ms: int) -> dict[str, int]:
        self._next_lease += 1
        ttl_s = ttl_ms / 1000
        self.leases[self._next_lease] = Lease(ttl_s, time.monotonic() + ttl_s)
        return {"lease": self._next_lease, "ttl_ms": ttl_ms}

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for row in body.get("expected", []):
            known = self.items.get(row["key"])
            if (known[1] if known else 0) != row["revision"]:
                rows = [r["key"] for r in body["expected"] if r["key"] in self.items]
                return 412, {"items": [self._item(key) for key in rows]}
        puts = body.get("puts", [])
        if any(each["lease"] and each["lease"] not in self.leases for each in puts):
            return 404, {}
        for each in puts:
            self.put(each["key"], base64.b64decode(each["value"]), each["lease"])
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}
