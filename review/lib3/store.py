"""Stand-in of the platform's store, as PROTOCOL.md and LETTER-6.md describe it."""

import asyncio
import base64
import copy
import json
import time
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from wire import Record, Request, pack, read_request, reset

__all__ = ["Contents", "Store"]

ANSWER_S = 0.004
"""Time of the store for an answer, as on the sheet of the deployment."""

PAGE_ITEMS = 500
LEASE_CHECK_INTERVAL_S = 0.02
LEAST_TTL_MS, MOST_TTL_MS = 1_000, 600_000


@dataclass(slots=True)
class Contents:
    """All that the store keeps; a drill puts an older copy of it in force."""

    revision: int = 100
    items: dict[str, dict[str, Any]] = field(default_factory=dict)
    leases: dict[int, dict[str, Any]] = field(default_factory=dict)
    history: list[dict[str, Any]] = field(default_factory=list)


class Store:
    """The store, with an address of its own for each machine.

    Parameters
    ----------
    record : Record
        Record of the case.

    Attributes
    ----------
    told : dict of str to int
        Newest revision that a watch has told each machine.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self._kept = Contents()
        self._era = 0
        self._is_away = False
        self._turned_away: set[str] = set()
        self._next_lease = 77_000
        self._changed = asyncio.Event()
        self._open: dict[str, set[asyncio.StreamWriter]] = {}
        self._servers: list[asyncio.Server] = []
        self.told: dict[str, int] = {}

    @property
    def revision(self) -> int:
        """The store's present revision."""
        return self._kept.revision

    async def listen(self, machine: str, ip: str) -> str:
        """Listen on an address for one machine; return the address."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve(machine, reader, writer)

        server = await asyncio.start_server(serve, ip, 0)
        self._servers.append(server)
        return f"{ip}:{server.sockets[0].getsockname()[1]}"

    async def run(self) -> None:
        """End leases until cancelled."""
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            now_s = time.monotonic()
            for lease, found in list(self._kept.leases.items()):
                if found["ends_s"] <= now_s:
                    self._end_lease(lease)

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write an item."""
        kept = self._kept
        kept.revision += 1
        known = kept.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": kept.revision,
            "created": known["created"] if known else kept.revision,
            "lease": lease,
        }
        kept.items[key] = item
        self._tell(item)

    def remove(self, key: str) -> None:
        """Remove an item, if it is there."""
        if self._kept.items.pop(key, None) is not None:
            self._kept.revision += 1
            revision = self._kept.revision
            self._tell({"key": key, "revision": revision, "deleted": True})

    def _tell(self, event: dict[str, Any]) -> None:
        self._kept.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _end_lease(self, lease: int) -> None:
        del self._kept.leases[lease]
        items = self._kept.items.items()
        keys = [key for key, item in items if item["lease"] == lease]
        for key in keys:
            self.remove(key)

    def copy(self) -> Contents:
        """Return a copy, from which the store can come back in a drill."""
        self._record.write("store: a copy is made")
        return copy.deepcopy(self._kept)

    def go_away(self) -> None:
        """Reset all connections, and those to come, until `come_back`."""
        self._record.write("store: away")
        self._is_away = True
        for machine in self._open:
            self._reset_connections(machine)

    def come_back(self, older: Contents) -> None:
        """Come back from an older copy; what was written since is gone."""
        self._kept = copy.deepcopy(older)
        now_s = time.monotonic()
        for lease in self._kept.leases.values():
            lease["ends_s"] = now_s + lease["ttl_ms"] / 1000
        self._era += 1
        self._is_away = False
        self._record.write(f"store: back from the copy, Store-Era {self._era}")

    def turn_away(self, machine: str) -> None:
        """Reset a machine's connections, and those to come."""
        self._record.write(f"store: turns {machine} away")
        self._turned_away.add(machine)
        self._reset_connections(machine)

    def take_in(self, machine: str) -> None:
        """Serve a machine again."""
        self._record.write(f"store: serves {machine} again")
        self._turned_away.discard(machine)

    def _reset_connections(self, machine: str) -> None:
        for writer in list(self._open.get(machine, ())):
            reset(writer)

    def _refuses(self, machine: str) -> bool:
        return self._is_away or machine in self._turned_away

    async def _serve(
        self,
        machine: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        opened = self._open.setdefault(machine, set())
        opened.add(writer)
        try:
            while not self._refuses(machine):
                request = await read_request(reader)
                if request is None:
                    return
                await asyncio.sleep(ANSWER_S)
                era = self._era
                status, fields = await self._answer(machine, request)
                if self._refuses(machine) or era != self._era:
                    break
                head = {"Content-Type": "application/json", "Store-Era": str(era)}
                writer.write(pack(status, head, json.dumps(fields).encode()))
                await writer.drain()
            reset(writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            opened.discard(writer)
            writer.close()

    async def _answer(
        self, machine: str, request: Request
    ) -> tuple[int, dict[str, Any]]:
        url = urlsplit(request.target)
        query = {key: each[0] for key, each in parse_qs(url.query).items()}
        body = json.loads(request.body) if request.body else {}
        match url.path:
            case "/v1/kv-key":
                item = self._kept.items.get(query["key"])
                found = item and item | {"current_rev": self._kept.revision}
                return (200, found) if found else (404, {})
            case "/v1/kv-range":
                return 200, self._range(query)
            case "/v1/kv-watch":
                return await self._watch(machine, query)
            case "/v1/kv-txn":
                return self._commit(body)
            case "/v1/kv-lease":
                return 200, self._grant_lease(int(body["ttl_ms"]))
        return self._keep_or_end(request.method, int(url.path.rpartition("/")[2]))

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, after = query.get("path_prefix", ""), query.get("after", "")
        items = self._kept.items
        keys = sorted(key for key in items if key.startswith(prefix) and key > after)
        return {
            "items": [items[key] for key in keys[:PAGE_ITEMS]],
            "more_pages": len(keys) > PAGE_ITEMS,
            "current_rev": self._kept.revision,
        }

    async def _watch(
        self, machine: str, query: dict[str, str]
    ) -> tuple[int, dict[str, Any]]:
        prefix, after = query.get("path_prefix", ""), int(query["after"])
        if after > self._kept.revision:
            return 410, {}
        until_s = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                each
                for each in self._kept.history
                if each["revision"] > after and each["key"].startswith(prefix)
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                self.told[machine] = self._kept.revision
                return 200, {"events": events, "current_rev": self._kept.revision}
            with suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _commit(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        items = self._kept.items
        expected = body.get("expected", [])
        for row in expected:
            known = items.get(row["key"])
            if (known["revision"] if known else 0) != row["revision"]:
                found = [
                    items[each["key"]] for each in expected if each["key"] in items
                ]
                return 412, {"items": found}
        puts = body.get("puts", [])
        leases = {put.get("lease", 0) for put in puts} - {0}
        if not leases <= self._kept.leases.keys():
            return 404, {}
        for put in puts:
            value = base64.b64decode(put["value"])
            self.put(put["key"], value, put.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self._kept.revision}

    def _grant_lease(self, ttl_ms: int) -> dict[str, Any]:
        self._next_lease += 1
        ttl_ms = max(LEAST_TTL_MS, min(ttl_ms, MOST_TTL_MS))
        ends_s = time.monotonic() + ttl_ms / 1000
        self._kept.leases[self._next_lease] = {"ends_s": ends_s, "ttl_ms": ttl_ms}
        return {"lease": self._next_lease, "ttl_ms": ttl_ms}

    def _keep_or_end(self, method: str, lease: int) -> tuple[int, dict[str, Any]]:
        found = self._kept.leases.get(lease)
        if found is None:
            return 404, {}
        if method == "DELETE":
            self._end_lease(lease)
        else:
            found["ends_s"] = time.monotonic() + found["ttl_ms"] / 1000
        return 200, {"ttl_ms": found["ttl_ms"]}
