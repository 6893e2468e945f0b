"""Stand-ins that speak the platform's published wire, on loopback."""

import base64
import json
import os
import time
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

import anyio

from knapweedbridge_core.serving import RequestLimits
from knapweedbridge_daemon.serving.http_server import HttpServer

JSON = [(b"Content-Type", b"application/json")]


class Server:
    """Serves a handler on a free port; subclasses answer requests."""

    def __init__(self):
        self.address = ""
        self.faults = []
        self.calls = []
        self.port = 0
        self.scope = anyio.CancelScope()
        self.ended = anyio.Event()

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=self.port
        )
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self.address = f"127.0.0.1:{port}"
        with self.scope:
            async with listener:
                task_status.started()
                await listener.serve(self.make_connection_handler())
        self.ended.set()

    def make_connection_handler(self):
        """Return what serves each connection."""
        face = HttpServer(
            self.handle, lambda: RequestLimits(), self.faults.append, self.faults.append
        )
        return face.serve

    def crash(self):
        """End at once: all connections break, and new ones are refused."""
        self.scope.cancel()

    async def handle(self, request, responder):
        raise NotImplementedError


async def answer_json(responder, status, value):
    await responder.answer(status, JSON, json.dumps(value).encode())


@dataclass
class Lease:
    ttl_s: float
    ends_s: float
    keys: set = field(default_factory=set)


class EraResponder:
    """Answers of a store, each with the store's era."""

    def __init__(self, responder, era):
        self._responder = responder
        self._era = era

    async def answer(self, status, headers, body):
        told = [(b"Store-Era", b"%d" % self._era())]
        await self._responder.answer(status, headers + told, body)


@dataclass
class Copy:
    """An older copy of a store: items without a lease, and its revision."""

    items: dict
    revision: int


class Store(Server):
    """The platform's store: items, leases, transactions, watches."""

    def __init__(self):
        super().__init__()
        self.items = {}
        self.events = []
        self.revision = 1
        self.leases = {}
        self.down = False
        self.rejects_writes = False
        self.nonsense = False
        self.oldest = 0
        self.changed = anyio.Event()
        self.era = 1

    def copy(self):
        """Copy what stands without a lease."""
        items = {key: item for key, item in self.items.items() if not item[2]}
        return Copy(items, self.revision)

    def come_back(self, copy):
        """Go on from an older copy: what was written since is gone, leases too."""
        self.items = dict(copy.items)
        self.revision = copy.revision
        self.events = [event for event in self.events if event[2] <= copy.revision]
        self.leases = {}
        self.era += 1
        self.changed.set()
        self.changed = anyio.Event()

    def put(self, key, value, lease=0):
        """Write as the operator or a server would."""
        self.revision += 1
        packed = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.items[key] = (packed, self.revision, lease)
        if lease:
            self.leases[lease].keys.add(key)
        self._tell(key, packed)
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._tell(key, None)

    def forget_history(self):
        self.oldest = self.revision + 1

    def _tell(self, key, value):
        self.events.append((key, value, self.revision))
        self.changed.set()
        self.changed = anyio.Event()

    def _expire(self):
        now_s = anyio.current_time()
        for name, lease in list(self.leases.items()):
            if lease.ends_s < now_s:
                del self.leases[name]
                for key in sorted(lease.keys):
                    if self.items.get(key, (0, 0, 0))[2] == name:
                        self.remove(key)

    async def handle(self, request, responder):
        self._expire()
        responder = EraResponder(responder, lambda: self.era)
        url = urlsplit(request.head.target.decode())
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        self.calls.append(url.path)
        if self.down or (self.rejects_writes and request.head.method == b"POST"):
            await responder.answer(503, [], b"")
            return
        if self.nonsense:
            await responder.answer(200, JSON, b"<html>no store</html>")
            return
        body = json.loads(request.body) if request.body else {}
        name = url.path.rsplit("/", 1)[-1]
        if url.path == "/v1/kv-key" and query["key"] in self.items:
            item = self._item(query["key"])
            await answer_json(responder, 200, item | {"current_rev": self.revision})
        elif url.path == "/v1/kv-range":
            await self._range(responder, query)
        elif url.path == "/v1/kv-watch":
            await self._watch(responder, query)
        elif url.path == "/v1/kv-txn":
            await self._transact(responder, body)
        elif url.path == "/v1/kv-lease":
            lease = len(self.leases) + 100
            ttl_s = body["ttl_ms"] / 1000
            self.leases[lease] = Lease(ttl_s, anyio.current_time() + ttl_s)
            await answer_json(
                responder, 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
            )
        elif url.path.startswith("/v1/kv-keep/") and int(name) in self.leases:
            lease = self.leases[int(name)]
            lease.ends_s = anyio.current_time() + lease.ttl_s
            await answer_json(responder, 200, {"ttl_ms": int(lease.ttl_s * 1000)})
        else:
            await responder.answer(404, [], b"")

    def _item(self, key):
        value, revision, lease = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "created": revision,
            "lease": lease,
        }

    async def _range(self, responder, query):
        prefix, after = query.get("path_prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = keys[:5]
        answer = {
            "items": [self._item(key) for key in page],
            "more_pages": len(keys) > len(page),
            "current_rev": self.revision,
        }
        await answer_json(responder, 200, answer)

    async def _watch(self, responder, query):
        prefix, after = query.get("path_prefix", ""), int(query["after"])
        if after < self.oldest - 1 or after > self.revision:
            await responder.answer(410, [], b"")
            return
        with anyio.move_on_after(int(query["wait_ms"]) / 1000):
            era = self.era
            while era == self.era and not self._since(prefix, after):
                await self.changed.wait()
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
        answer = {"events": events, "current_rev": self.revision}
        await answer_json(responder, 200, answer)

    def _since(self, prefix, after):
        return [e for e in self.events if e[2] > after and e[0].startswith(prefix)]

    async def _transact(self, responder, body):
        for row in body["expected"]:
            found = self.items.get(row["key"], (b"", 0, 0))[1]
            if found != row["revision"]:
                await answer_json(responder, 412, {"items": []})
                return
        leases = {put["lease"] for put in body["puts"] if put["lease"]}
        if not leases <= self.leases.keys():
            await responder.answer(404, [], b"")
            return
        for put in body["puts"]:
            self.put(put["key"], base64.b64decode(put["value"]), put["lease"])
        for key in body["remove"]:
            self.remove(key)
        await answer_json(responder, 200, {"revision": self.revision})


def header(request, name):
    for key, value in request.head.headers:
        if key.lower() == name.lower().encode():
            return value.decode()
    return None


class Endpoint(Server):
    """A server of a service, with an id and a seal."""

    software = "v1"

    def __init__(self, name, service, zone="hall-a"):
        super().__init__()
        self.name = name
        self.service = service
        self.zone = zone
        self.requests = []
        self.behaviour = []
        self.arrivals_s = []
        self.limit_per_s = None
        self.leaves = False
        self.retry_after_s = None
        self.brittle_per_s = None
        self.room = None
        self.work_s = 0.0
        self.busy = 0
        self.turned_away_s = []
        self.born = 1_700_000_000_000

    def entry(self, **fields):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.software,
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
            "born": self.born,
            **fields,
        }

    def signs(self):
        """Return the headers of all its answers that ask daemons for something."""
        signs = [(b"Server-Leaving", b"1")] if self.leaves else []
        if self.limit_per_s is not None:
            signs.append((b"Server-Limit", str(self.limit_per_s).encode()))
        if self.brittle_per_s is not None:
            signs.append((b"Server-Brittle", str(self.brittle_per_s).encode()))
        return signs

    def turned_away_at_most(self, seconds):
        """Return the most calls that were turned away for want of room in a time."""
        times = self.turned_away_s
        return max(
            (sum(0 <= other - each < seconds for other in times) for each in times),
            default=0,
        )

    def sealed(self, request):
        return [
            *self.signs(),
            (b"Request-Id", (header(request, "Request-Id") or "").encode()),
            (b"Response-Seal", f"seal-of-{self.name}".encode()),
        ]

    async def refuse(self, request, responder, status):
        headers = [
            *self.signs(),
            (b"Request-Id", (header(request, "Request-Id") or "").encode()),
            (b"Not-Run", b"1"),
            (b"Instance-Id", self.name.encode()),
        ]
        if status == 503 and self.retry_after_s is not None:
            headers.append((b"Retry-After", str(self.retry_after_s).encode()))
        await responder.answer(status, headers, b"")

    def write_at_once(self, responder, headers, body):
        """Write an answer without giving other tasks a turn."""
        length = [(b"Content-Length", b"%d" % len(body))]
        lines = [b"%s: %s" % pair for pair in headers + length]
        packed = b"\r\n".join([b"HTTP/1.1 200 OK", *lines, b"", body])
        stream = responder._connection._stream
        raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        os.write(raw.fileno(), packed)

    async def handle(self, request, responder):
        self.arrivals_s.append(anyio.current_time())
        expected = header(request, "Expect-Instance")
        if expected not in (None, self.name):
            await self.refuse(request, responder, 421)
            return
        if request.head.path == "/health":
            headers = [(b"Instance-Id", self.name.encode())]
            await responder.answer(200, headers, b"")
            return
        self.requests.append(request)
        if self.retry_after_s is not None:
            await self.answer(request, responder, "shed")
            return
        if self.room is not None and self.busy >= self.room:
            self.turned_away_s.append(anyio.current_time())
            await self.answer(request, responder, "shed")
            return
        behaviour = self.behaviour.pop(0) if self.behaviour else "well"
        self.busy += 1
        try:
            await anyio.sleep(self.work_s)
            await self.answer(request, responder, behaviour)
        finally:
            self.busy -= 1

    def drop(self, request):
        """Forget a request that is not run; others may have come since."""
        place = next(n for n, each in enumerate(self.requests) if each is request)
        del self.requests[place]

    async def answer(self, request, responder, behaviour):
        if behaviour == "silent":
            await anyio.sleep(30)
        elif behaviour == "shed":
            self.drop(request)
            await self.refuse(request, responder, 503)
        elif behaviour == "fail":
            await responder.answer(500, self.sealed(request), b"failed")
        elif behaviour == "in the last moment":
            await anyio.sleep(0.05)
            self.write_at_once(responder, self.sealed(request), b"late")
            # The daemon shares this event loop: it finds the answer and the end of
            # its patience in one turn.
            time.sleep(0.3)
            await anyio.sleep(30)
        elif behaviour == "unsealed":
            await responder.answer(200, [], b"forged")
        elif behaviour == "another's":
            headers = [(b"Request-Id", b"other"), (b"Response-Seal", b"x")]
            await responder.answer(200, headers, b"another's")
        else:
            body = b"%s %s" % (request.head.method, request.head.target)
            await responder.answer(200, self.sealed(request), body + request.body)


class Engine(Endpoint):
    """A model server with places for adapters."""

    def __init__(self, name, service, zone="hall-a", places=3, load_s=0.05):
        super().__init__(name, service, zone)
        self.places = places
        self.load_s = load_s
        self.held = {}
        self.sequence = 0
        self.orders = []
        self.crashed = False
        self.pause_s = 0.005
        self.queue_s = 0.0
        self.newest = {}
        self.begun = []
        self.goes_on = None

    def start_again(self):
        """Lose all that it held, under the id that it has."""
        self.held = {}
        self.sequence = 0
        self.orders = []
        self.born += 5000

    def models(self):
        adapters = [f"{name}@{version}" for name, (version, _) in self.held.items()]
        return [{"name": "base", "version": 1, "adapters": adapters}]

    def entry(self, **fields):
        return super().entry(models=self.models(), stage="both", **fields)

    async def handle(self, request, responder):
        path = request.head.path
        if path == "/v1/report":
            report = {
                "stage": "both",
                "models": self.models(),
                "busy": False,
                "seq": self.sequence,
                "queued": 0,
                "running": 0,
                "kv_used": 0,
                "kv_total": 1000,
                "handles": 0,
                "born": self.born,
            }
            await answer_json(responder, 200, report)
        elif path == "/v1/order":
            await self._order(request, responder)
        else:
            await super().handle(request, responder)

    async def _order(self, request, responder):
        order = json.loads(request.body)
        self.arrivals_s.append(anyio.current_time())
        self.orders.append(order)
        if order.get("expected", self.sequence) != self.sequence:
            await responder.answer(409, self.signs(), b"")
            return
        self.sequence += 1
        name = order["adapter"]
        if order["operation"] == "unload":
            self.held.pop(name, None)
            await responder.answer(200, self.signs(), b"")
            return
        ready_s = anyio.current_time() + self.load_s
        version = order.get("version", self.newest.get(name, 1))
        self.held[name] = (version, ready_s)
        self.crashed = self.crashed or len(self.held) > self.places
        await responder.answer(202, self.signs(), b"")

    def _holds(self, request):
        _, _, name = (header(request, "Model") or "").partition("/")
        if not name:
            return True
        version, ready_s = self.held.get(name, (0, 0.0))
        wanted = header(request, "Expect-Version")
        there = version and ready_s <= anyio.current_time()
        return there and wanted in (None, str(version))

    async def answer(self, request, responder, behaviour):
        if not self._holds(request):
            self.drop(request)
            await self.refuse(request, responder, 421)
            return
        if behaviour not in ("well", "cut", "cut in an event"):
            await super().answer(request, responder, behaviour)
            return
        await self._stream(request, responder, behaviour)

    def note_begun(self, request, adapter, version):
        """Note under which version of an adapter a run begins."""
        self.begun.append((anyio.current_time(), adapter, version))

    async def _stream(self, request, responder, behaviour):
        from knapweedbridge_daemon.serving.wire import ResponseHead

        first = int(header(request, "Last-Event-Id") or 0) + 1
        kind = [(b"Content-Type", b"text/event-stream")]
        _, _, name = (header(request, "Model") or "").partition("/")
        held = self.held.get(name)
        if self.queue_s:
            await anyio.sleep(self.queue_s)
        if held is not None:
            self.note_begun(request, name, self.held.get(name, held)[0])
        await responder.start(ResponseHead(200, self.sealed(request) + kind))
        for number in range(first, 11):
            event = f"id: {number}\ndata: t{number} of {self.software}\n\n".encode()
            if behaviour != "well" and number == first + 4:
                if behaviour == "cut in an event":
                    await responder.send(event[:7])
                # Without an end the connection is closed.
                return
            if self.goes_on is not None and number == first + 2:
                await self.goes_on.wait()
            await responder.send(event)
            await anyio.sleep(self.pause_s)
        await responder.end()
