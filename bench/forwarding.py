"""Processor time of forwarding: one real daemon between an engine and callers.

    python bench/forwarding.py [NAME]

The daemon runs in a process of its own, on uvloop as in production; the store, the
engine and the callers run in this one. The cost is the time that the daemon's main
thread ran in the measured span, less what it uses when idle. With a name, the
figures are added to ``results/forwarding.json`` under it.
"""

import json
import subprocess
import sys
import tempfile
import time
from contextlib import asynccontextmanager
from dataclasses import asdict, dataclass
from pathlib import Path

import anyio

HERE = Path(__file__).parent
sys.path.insert(0, str(HERE.parent / "features/platform"))

from standins import Engine, Store  # noqa: E402
from whole_path import (  # noqa: E402
    TEMPLATE,
    configuration,
    fill,
    free_port,
    settings_fields,
)

from knapweedbridge_daemon.serving.wire import ResponseHead  # noqa: E402

RESULTS = HERE / "results" / "forwarding.json"
SLOTS = 256
CALLERS = 16
WARM_S = 1.0
RUN_S = 5.0
IDLE_S = 3.0
GAP_S = 0.004
EVENTS = 43
SERVE = (
    "import sys; from pathlib import Path; "
    "from knapweedbridge_daemon.serving.main import serve_file; "
    "serve_file(Path(sys.argv[1]))"
)


@dataclass(slots=True)
class Figures:
    """What one kind of load cost."""

    load: str
    requests: int
    us_a_request: float
    requests_per_s: float
    system_share: float


class EventEngine(Engine):
    """An engine that answers with as many events as the target names."""

    async def _stream(self, request, responder, behaviour):
        events = int(request.head.path.rpartition("/")[2])
        kind = [(b"Content-Type", b"text/event-stream")]
        await responder.start(ResponseHead(200, self.sealed(request) + kind))
        for number in range(1, events + 1):
            await anyio.sleep(GAP_S)
            await responder.send(b"id: %d\ndata: token %d\n\n" % (number, number))
        await responder.end()


def ran_s(pid: int) -> float:
    """Return how long a process's main thread has run."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def ticks(pid: int) -> tuple[int, int]:
    """Return the ticks that a process has spent in its program and in the system."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return int(fields[11]), int(fields[12])


async def call(stream, kind: str, events: int, number: int) -> None:
    """Send one request over a kept connection, and read its answer to the end."""
    model = b"Model: base\r\nToken-Counts: 100,43\r\n" if kind == "draft" else b""
    method = b"POST" if kind == "draft" else b"GET"
    body = b"x" * 200 if kind == "draft" else b""
    await stream.send(
        b"%s /%s/%d HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r%d\r\n"
        b"Deadline-Ms: 4000\r\nUser-Agent: bench/1\r\nAccept: */*\r\n%s"
        b"Content-Length: %d\r\n\r\n%s"
        % (method, kind.encode(), events, number, model, len(body), body)
    )
    got = b""
    while not is_whole(got, kind):
        got += await stream.receive()
    if not got.startswith(b"HTTP/1.1 200"):
        raise RuntimeError(f"not answered: {got[:200]!r}")


def is_whole(got: bytes, kind: str) -> bool:
    """Tell whether an answer has come to its end."""
    head, end, body = got.partition(b"\r\n\r\n")
    if not end:
        return False
    if b"chunked" in head:
        return body.endswith(b"0\r\n\r\n")
    length = int(head.lower().partition(b"content-length:")[2].split()[0])
    return len(body) >= length


class Load:
    """Callers that each send one request after another."""

    def __init__(self, port: int, kind: str, events: int) -> None:
        self._port = port
        self._kind = kind
        self._events = events
        self.answered = 0

    async def run(self) -> None:
        """Call until cancelled."""
        async with anyio.create_task_group() as tasks:
            for _ in range(CALLERS):
                tasks.start_soon(self._caller)

    async def _caller(self) -> None:
        async with await anyio.connect_tcp("127.0.0.1", self._port) as stream:
            while True:
                await call(stream, self._kind, self._events, self.answered)
                self.answered += 1


def deployment_configuration() -> dict:
    """Return a configuration whose bounds do not limit the load."""
    found = configuration()
    for service in found["services"]:
        service["max_conns"] = SLOTS
        if "engine" in service:
            service["engine"] |= {"slots": SLOTS, "kv_tokens": 10**7}
    return found


@asynccontextmanager
async def daemon(store: Store, callers_port: int):
    """Run a daemon in a process of its own."""
    ports = [callers_port, free_port(), free_port()]
    text = fill(TEMPLATE.read_text(), settings_fields("host-0", store.address, ports))
    text = text.replace("127.0.0.1:9464", f"127.0.0.1:{free_port()}")
    with tempfile.TemporaryDirectory() as folder:
        settings = Path(folder) / "settings.ini"
        settings.write_text(text)
        command = [sys.executable, "-c", SERVE, str(settings)]
        process = subprocess.Popen(command, stdout=subprocess.DEVNULL)
        try:
            yield process.pid
        finally:
            process.kill()
            process.wait()


async def until_served(port: int, kind: str) -> None:
    """Wait until requests of a kind are answered."""
    with anyio.fail_after(20):
        while True:
            try:
                async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                    await call(stream, kind, 1, 0)
                    return
            except (OSError, RuntimeError, anyio.EndOfStream):
                await anyio.sleep(0.1)


async def measure(pid: int, port: int, kind: str, events: int, idle: float) -> Figures:
    """Play one load, and return its cost less the idle daemon's."""
    load = Load(port, kind, events)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(load.run)
        await anyio.sleep(WARM_S)
        before = ticks(pid)
        began_s, ran, answered = time.monotonic(), ran_s(pid), load.answered
        await anyio.sleep(RUN_S)
        span_s = time.monotonic() - began_s
        ran, answered = ran_s(pid) - ran, load.answered - answered
        user, system = (
            after - was for after, was in zip(ticks(pid), before, strict=True)
        )
        tasks.cancel_scope.cancel()
    cost_us = (ran - idle * span_s) / answered * 1e6
    name = f"{kind}, {events} events" if kind == "draft" else "plain"
    return Figures(
        name,
        answered,
        round(cost_us, 1),
        round(answered / span_s, 1),
        round(system / max(1, user + system), 2),
    )


async def run() -> dict:
    """Measure all loads with one daemon."""
    store, port = Store(), free_port()
    engine = EventEngine("engine-1", "llm")
    desk = EventEngine("desk-1", "desk")
    desk.entry = lambda: Engine.__mro__[1].entry(desk)
    async with anyio.create_task_group() as tasks:
        for server in (store, engine, desk):
            await tasks.start(server.run)
        store.put("op/config", deployment_configuration())
        for server in (engine, desk):
            store.put(f"servers/{server.name}", {**server.entry(), "slots": SLOTS})
        async with daemon(store, port) as pid:
            for kind in ("draft", "look"):
                await until_served(port, kind)
            began_s, ran = time.monotonic(), ran_s(pid)
            await anyio.sleep(IDLE_S)
            idle = (ran_s(pid) - ran) / (time.monotonic() - began_s)
            found = [
                await measure(pid, port, kind, events, idle)
                for kind, events in (("draft", EVENTS), ("draft", 1), ("look", 1))
            ]
        tasks.cancel_scope.cancel()
    long, short = found[0], found[1]
    return {
        "idle_core": round(idle, 4),
        "us_an_event": round(
            (long.us_a_request - short.us_a_request) / (EVENTS - 1), 1
        ),
        "loads": [asdict(each) for each in found],
    }


def main() -> int:
    """Measure, print, and keep the figures under a name."""
    found = anyio.run(run, backend_options={"use_uvloop": True})
    print(json.dumps(found, indent=1))
    if len(sys.argv) > 1:
        kept = json.loads(RESULTS.read_text()) if RESULTS.exists() else {}
        kept[sys.argv[1]] = found
        RESULTS.write_text(json.dumps(kept, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
