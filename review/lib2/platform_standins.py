"""Stand-ins of the platform for review scripts: store, servers, clients, daemons.

Everything uses the standard library alone and loopback addresses. The daemons under
review are started as separate processes by the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
STARTED_S = time.monotonic()


def now_s() -> float:
    """Return the seconds since the script began."""
    return time.monotonic() - STARTED_S


def trouble() -> bool:
    """Return whether the script brings its disruption about."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")

    @classmethod
    def silent(cls) -> "Record":
        """Return a record that keeps nothing."""
        return cls(Path(os.devnull))

    def note(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{now_s():8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


@dataclass
class Request:
    """A request as it was read."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    def header(self, name: str) -> str | None:
        """Return a header."""
        return self.headers.get(name.lower())


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Read a first line and headers; None if the connection ends before."""
    try:
        block = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rows = block.decode("latin-1").split("\r\n")
    pairs = (row.partition(":") for row in rows if row)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_chunks(reader: asyncio.StreamReader) -> AsyncIterator[bytes]:
    """Yield the chunks of a body until its end."""
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return
        yield chunk[:-2]


def pack(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return a complete answer."""
    rows = {**headers, "Content-Length": str(len(body))}
    lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in rows.items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class HttpStandIn:
    """Serves HTTP on a loopback port."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """The IP address and port."""
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def drop_connections(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def stop(self) -> None:
        """Listen no more, and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.drop_connections()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = await read_head(reader)
        if head is None:
            return False
        first, headers = head
        method, target, _ = first.split(" ", 2)
        body = await read_body(reader, headers)
        return await self.handle(Request(method, target, headers, body), writer)

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Answer a request; return whether the connection is kept."""
        raise NotImplementedError


@dataclass
class Lease:
    """A lease of the store."""

    ttl_s: float
    ends_s: float
    keys: set[str] = field(default_factory=set)


class Store(HttpStandIn):
    """The platform's metadata store."""

    def __init__(self) -> None:
        super().__init__()
        self.items: dict[str, tuple[bytes, int, int]] = {}
        self.events: list[tuple[str, bytes | None, int]] = []
        self.revision = 10
        self.era = 1
        self.leases: dict[int, Lease] = {}
        self.silent = False
        self._leases = 100
        self._changed = asyncio.Event()

    def put(self, key: str, value: object, lease: int = 0) -> int:
        """Write as the operator or a server does; return the revision."""
        self.revision += 1
        packed = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.items[key] = (packed, self.revision, lease)
        if lease:
            self.leases[lease].keys.add(key)
        self._tell(key, packed)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._tell(key, None)

    def _tell(self, key: str, value: bytes | None) -> None:
        self.events.append((key, value, self.revision))
        self.wake()

    def wake(self) -> None:
        """Wake the watches."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def expire(self) -> None:
        """End leases whose time is over, until cancelled."""
        while True:
            await asyncio.sleep(0.05)
            for number, lease in list(self.leases.items()):
                if lease.ends_s < now_s():
                    self.end_lease(number)

    def end_lease(self, number: int) -> None:
        """End a lease, and remove its keys."""
        lease = self.leases.pop(number, None)
        for key in sorted(lease.keys) if lease else ():
            if self.items.get(key, (b"", 0, 0))[2] == number:
                self.remove(key)

    def row(self, key: str) -> dict[str, object]:
        """Return an item as it is answered."""
        value, revision, lease = self.items[key]
        text = base64.b64encode(value).decode()
        return {
            "key": key,
            "value": text,
            "revision": revision,
            "created": revision,
            "lease": lease,
        }

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """See `HttpStandIn.handle`."""
        if self.silent:
            await asyncio.sleep(60)
            return False
        url = urlsplit(request.target)
        query = {key: each[0] for key, each in parse_qs(url.query).items()}
        body = json.loads(request.body) if request.body else {}
        status, answer = await self._answer(url.path, query, body)
        if self.silent:
            await asyncio.sleep(60)
            return False
        headers = {"Content-Type": "application/json", "Store-Era": str(self.era)}
        writer.write(pack(status, headers, json.dumps(answer).encode()))
        await writer.drain()
        return True

    async def _answer(
        self, path: str, query: dict[str, str], body: dict
    ) -> tuple[int, dict]:
        name = path.rsplit("/", 1)[-1]
        if path == "/v1/kv-key":
            if query["key"] not in self.items:
                return 404, {}
            return 200, {**self.row(query["key"]), "current_rev": self.revision}
        if path == "/v1/kv-range":
            return self._range(query)
        if path == "/v1/kv-watch":
            return await self._watch(query)
        if path == "/v1/kv-txn":
            return self._transact(body)
        if path == "/v1/kv-lease":
            self._leases += 1
            ttl_s = body["ttl_ms"] / 1000
            self.leases[self._leases] = Lease(ttl_s, now_s() + ttl_s)
            return 200, {"lease": self._leases, "ttl_ms": body["ttl_ms"]}
        if path.startswith("/v1/kv-keep/"):
            lease = self.leases.get(int(name))
            if lease is None:
                return 404, {}
            lease.ends_s = now_s() + lease.ttl_s
            return 200, {"ttl_ms": int(lease.ttl_s * 1000)}
        if path.startswith("/v1/kv-lease-end/"):
            self.end_lease(int(name))
            return 200, {}
        return 404, {}

    def _range(self, query: dict[str, str]) -> tuple[int, dict]:
        prefix, after = query.get("path_prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = keys[:500]
        return 200, {
            "items": [self.row(key) for key in page],
            "more_pages": len(keys) > len(page),
            "current_rev": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        prefix, after = query.get("path_prefix", ""), int(query["after"])
        if after > self.revision:
            return 410, {}
        until_s = now_s() + int(query["wait_ms"]) / 1000
        era = self.era
        while era == self.era and not self._since(prefix, after):
            left_s = until_s - now_s()
            if left_s <= 0:
                break
            changed = self._changed
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)
        if era != self.era:
            return 410, {}
        rows: list[dict[str, object]] = []
        for key, value, revision in self._since(prefix, after):
            if value is None:
                rows.append({"key": key, "revision": revision, "deleted": True})
                continue
            text = base64.b64encode(value).decode()
            rows.append(
                {
                    "key": key,
                    "value": text,
                    "revision": revision,
                    "created": revision,
                    "lease": 0,
                }
            )
        return 200, {"events": rows, "current_rev": self.revision}

    def _since(self, prefix: str, after: int) -> list[tuple[str, bytes | None, int]]:
        found = []
        for event in reversed(self.events):
            if event[2] <= after:
                break
            if event[0].startswith(prefix):
                found.append(event)
        return found[::-1]

    def _transact(self, body: dict) -> tuple[int, dict]:
        for row in body.get("expected", ()):
            if self.items.get(row["key"], (b"", 0, 0))[1] != row["revision"]:
                known = [r["key"] for r in body["expected"] if r["key"] in self.items]
                return 412, {"items": [self.row(key) for key in known]}
        leases = {put["lease"] for put in body.get("puts", ()) if put.get("lease")}
        if not leases <= self.leases.keys():
            return 404, {}
        for put in body.get("puts", ()):
            value = base64.b64decode(put["value"])
            self.put(put["key"], value, put.get("lease") or 0)
        for key in body.get("remove", ()):
            self.remove(key)
        return 200, {"revision": self.revision}


class Server(HttpStandIn):
    """A sound server of a plain service."""

    def __init__(self, name: str, service: str, record: Record) -> None:
        super().__init__()
        self.name = name
        self.service = service
        self.record = record
        self.runs: list[str] = []
        self.state = "ready"
        self.work_s = 0.02
        self.seq = 0
        self.born = int(time.time() * 1000)

    def entry(self) -> dict[str, object]:
        """Return its entry in the list of servers."""
        self.seq += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": "hall-a",
            "version": "1",
            "slots": 64,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self.seq,
            "born": self.born,
        }

    async def beat(self, store: Store) -> None:
        """Write the entry each 1.2 s, until cancelled."""
        while True:
            store.put(f"servers/{self.name}", self.entry())
            await asyncio.sleep(1.2)

    def sealed(self, request: Request) -> dict[str, str]:
        """Return the headers of an answer of this server."""
        return {
            "Request-Id": request.header("Request-Id") or "",
            "Response-Seal": f"seal-{self.name}",
            "Keep-Alive": "timeout=30",
        }

    def not_run(self, request: Request, status: int) -> bytes:
        """Return an answer that says that the request was not run."""
        headers = {
            "Request-Id": request.header("Request-Id") or "",
            "Not-Run": "1",
            "Instance-Id": self.name,
        }
        return pack(status, headers, b"")

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """See `HttpStandIn.handle`."""
        expected = request.header("Expect-Instance")
        if expected not in (None, self.name):
            writer.write(self.not_run(request, 421))
        elif request.target == "/health":
            writer.write(pack(200, {"Instance-Id": self.name}, b""))
        else:
            await self.run(request, writer)
        await writer.drain()
        return True

    async def run(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Run a request, and answer it."""
        call = request.header("Request-Id") or ""
        self.runs.append(call)
        self.record.note(f"run {call} at {self.name}")
        await asyncio.sleep(self.work_s)
        writer.write(pack(200, self.sealed(request), self.body(request)))

    def body(self, request: Request) -> bytes:
        """Return the body of the answer to a request."""
        return b"x" * 800


def route(name: str, service: str, kind: str, **fields: object) -> dict[str, object]:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": "review.example",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 15000,
        "target_latency_ms": 800,
        "priority": 1,
        "service": service,
        "max_attempts": 2 if kind == "idempotent" else 1,
        **fields,
    }


LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}

BOUNDS = {
    "contact_ms": 3000,
    "retry_budget_ratio": 0.2,
    "budget_slack": 54,
    "budget_window_s": 10,
    "grace_s": 8,
    "version_ms": 5000,
}

SECTION = re.compile(r"{{#([a-z_.0-9]+)}}\n(.*?){{/\1}}\n", re.DOTALL)
PLACEHOLDER = re.compile(r"{{([a-z_.0-9]+)}}")


def fill(template: str, fields: dict) -> str:
    """Fill the template of the settings as the platform does."""

    def look_up(name: str) -> object:
        found: object = fields
        for part in name.split("."):
            if isinstance(found, list):
                found = found[int(part)]
            else:
                found = found.get(part, "") if isinstance(found, dict) else ""
        return found

    kept = SECTION.sub(lambda m: m[2] if look_up(m[1]) else "", template)
    return PLACEHOLDER.sub(lambda m: str(look_up(m[1])), kept)


class Daemon:
    """A daemon in a process of its own, started as the deploy file says."""

    def __init__(self, name: str, store: str, folder: Path) -> None:
        self.name = name
        self.store = store
        self.folder = folder
        self.ports = [free_port() for _ in range(4)]
        self.process: asyncio.subprocess.Process | None = None

    @property
    def callers(self) -> int:
        """The port that clients connect to."""
        return self.ports[0]

    async def start(self) -> None:
        """Start the process."""
        fields = {
            "node_name": self.name,
            "zone": "hall-a",
            "ip": HOST,
            "listen": {
                "frontend": f"{HOST}:{self.ports[0]}",
                "readiness": f"{HOST}:{self.ports[1]}",
            },
            "internal_ports": [self.ports[2], self.ports[2]],
            "platform": {"address": self.store},
            "limits": {"memory_mb": 300, "max_fds": 4100},
            "bounds": BOUNDS,
        }
        text = fill((ROOT / "platform/settings.ini").read_text(), fields)
        text = text.replace(f"{HOST}:9464", f"{HOST}:{self.ports[3]}")
        settings = self.folder / f"{self.name}.ini"
        settings.write_text(text)
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "platform/start.py",
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "KNAPWEEDBRIDGE_NODE_FILE": str(settings),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                },
            )

    def send(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def until_ready(self) -> None:
        """Wait until the daemon says that it is ready."""
        while True:
            with contextlib.suppress(OSError):
                if await self._ready_status() == 200:
                    return
            await asyncio.sleep(0.05)

    async def _ready_status(self) -> int:
        reader, writer = await asyncio.open_connection(HOST, self.ports[1])
        try:
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await read_head(reader)
            return int(head[0].split(" ")[1]) if head else 0
        finally:
            writer.close()

    def log_lines(self) -> list[dict]:
        """Return the lines of the daemon's log."""
        found = []
        for line in (self.folder / f"{self.name}.log").read_text().splitlines():
            with contextlib.suppress(ValueError):
                found.append(json.loads(line))
        return found


def pack_request(
    method: str, target: str, call: str, body: bytes = b"", **headers: str
) -> bytes:
    """Return a request of a client."""
    rows = {
        "Host": "review.example",
        "Request-Id": call,
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    if body or method != "GET":
        rows["Content-Length"] = str(len(body))
    lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in rows.items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def main(play, folder: Path) -> None:
    """Run a script; exit with 1 if the rule was broken, 2 if it could not run."""

    async def whole() -> int:
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            record = Record(folder / "record.txt")
            try:
                async with asyncio.timeout(115):
                    return await play(record, Path(temporary))
            finally:
                record.close()

    try:
        code = asyncio.run(whole())
    except Exception as error:  # The case could not run.
        print(f"could not run: {error!r}", file=sys.stderr)
        code = 2
    sys.exit(code)
