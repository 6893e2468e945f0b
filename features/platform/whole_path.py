"""Daemons and stand-ins in one process, over real sockets on loopback."""

import contextvars
import functools
import gc
import itertools
import json
import os
import re
import socket
import ssl
import tempfile
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import anyio
import httpx
from standins import Endpoint, Engine, Store

from knapweedbridge_core.serving.store_eras import revision_of
from knapweedbridge_daemon.serving.host import ServingHost
from knapweedbridge_daemon.serving.settings import read_serving_settings
from knapweedbridge_standins.port_blocks import claim_block

TEMPLATE = Path(__file__).parents[2] / "platform/settings.ini"
FAILED = Path(__file__).parents[2] / "target/failed"
"""Where the logs of failed scenarios are kept."""

HOST = contextvars.ContextVar("host", default="")
"""Name of the host whose daemon runs the present task."""

PLACEHOLDER = re.compile(r"{{([a-z_.0-9]+)}}")
SECTION = re.compile(r"{{#([a-z_.0-9]+)}}\n(.*?){{/\1}}\n", re.DOTALL)

NO_TLS = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
"""Shared by all clients, which speak plain HTTP. One of its own made each client read
the trust store, 40 ms of the event loop that the daemons share: sixty callers who each
came back some times held it for seconds, and the daemons' leases lapsed."""


PORTS_A_RUN = 199
FIRST_PORTS = range(10_000, 20_000, PORTS_A_RUN + 1)
"""First ports of the blocks, below the ports of outgoing connections."""


@functools.cache
def own_ports():
    """Return an endless iterator over the ports of this process, and their block."""
    block = claim_block(FIRST_PORTS, PORTS_A_RUN)
    return itertools.cycle(block.ports), block


def free_port():
    """Return a port that nobody listens on and that the kernel gives no connection."""
    ports, _ = own_ports()
    while True:
        port = next(ports)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


def settings_fields(name, store, ports):
    return {
        "node_name": name,
        "zone": "hall-a",
        "ip": "127.0.0.1",
        "listen": {
            "frontend": f"127.0.0.1:{ports[0]}",
            "readiness": f"127.0.0.1:{ports[1]}",
        },
        "internal_ports": [ports[2], ports[2]],
        "platform": {"address": store},
        "limits": {"memory_mb": 300, "max_fds": 4100},
        "bounds": {
            "contact_ms": 1000,
            "retry_budget_ratio": 0.2,
            "budget_slack": 50,
            "budget_window_s": 10,
            "grace_s": 3,
        },
    }


def fill(template, fields):
    """Fill a template as the platform does: plain placeholders, and simple sections."""

    def look_up(name):
        found = fields
        for part in name.split("."):
            found = found[int(part)] if isinstance(found, list) else found.get(part, "")
        return found

    def repeat(match):
        found = look_up(match[1])
        times = len(found) if isinstance(found, list | dict) else bool(found)
        return match[2] * times

    kept = SECTION.sub(repeat, template)
    return PLACEHOLDER.sub(lambda match: str(look_up(match[1])), kept)


def route(name, prefix, service, kind, **fields):
    return {
        "name": name,
        "host": "shop.example",
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 5000,
        "target_latency_ms": 800,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        **fields,
    }


def configuration(version=1, drop=(), accounts=()):
    routes = [
        route("look", "/look/", "desk", "idempotent"),
        route("order", "/order/", "desk", "non_idempotent"),
        route("draft", "/draft/", "llm", "streaming", resumable=True),
        route("note", "/note/", "llm", "streaming", resumable=False),
        route("open", "/open/", "desk", "idempotent", public=True),
    ]
    model = {"name": "base", "weights_mb": 10, "load_time_s": 0.1, "adapters": 9}
    engine = {
        "slots": 8,
        "kv_tokens": 1000,
        "models": [model],
        "weights_mb": 12,
        "adapter_slots": 3,
        "loads_per_s": 2,
    }
    return {
        "version": version,
        "routes": [each for each in routes if each["name"] not in drop],
        "services": [
            {"name": "desk", "health_path": "/health", "max_conns": 9},
            {"name": "llm", "health_path": "/health", "max_conns": 9, "engine": engine},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1000,
            "header_timeout_ms": 500,
            "idle_timeout_ms": 2000,
        },
        "tenants": list(accounts),
    }


async def nothing(path):
    pass


class RunningHost:
    """One run of a daemon, from its start to its end."""

    def __init__(self, name, settings, log):
        self._name = name
        self._settings = settings
        self._log = log
        self.scope = anyio.CancelScope()
        self.ended = anyio.Event()

    def again(self):
        """Return a new run with the same settings and log."""
        return RunningHost(self._name, self._settings, self._log)

    async def run(self):
        HOST.set(self._name)
        settings = read_serving_settings(self._name, self._settings)
        host = ServingHost(settings, os.dup(self._log.fileno()))
        try:
            with self.scope:
                await self.serve(host)
        finally:
            self.ended.set()

    @staticmethod
    async def serve(host):
        """Run the daemon; stories that have it fail take its error here."""
        await host.run()


class WholePath:
    """The whole path: a store, two plain endpoints, two engines and daemons."""

    plain_kind = Endpoint
    engine_kind = Engine

    def __init__(self, stack, tasks):
        self._stack = stack
        self.tasks = tasks
        self.store = Store()
        self.desks = [self.plain_kind(f"desk-{n}", "desk") for n in (1, 2)]
        self.engines = [self.engine_kind(f"engine-{n}", "llm") for n in (1, 2)]
        self.ports = []
        self.kept_logs = {}
        self.metrics_ports = []
        self.logs = []
        self.lease_ms = 1000
        self.bounds = {}
        self.prepare = nothing
        self.before_listing = nothing
        self.store_addresses = {}
        self._hosts = {}

    @property
    def endpoints(self):
        return [*self.desks, *self.engines]

    async def start(self, daemons=1):
        for server in [self.store, *self.endpoints]:
            await self.tasks.start(server.run)
        self.store.put("op/config", configuration())
        for endpoint in self.endpoints:
            self.store.put(f"servers/{endpoint.name}", endpoint.entry())
        await self.prepare(self)
        for number in range(daemons):
            self.start_daemon(f"host-{number}")

    async def add_engine(self, software="v1"):
        """Run one more engine, under an id that none had before, and list it."""
        engine = await self.run_engine(software)
        self.write_entry(engine)
        return engine

    async def run_engine(self, software="v1"):
        """Run one more engine that the store doesn't list yet."""
        engine = Engine(f"engine-{len(self.engines) + 1}", "llm")
        engine.software = software
        engine.pause_s = self.engines[0].pause_s
        self.engines.append(engine)
        await self.tasks.start(engine.run)
        await self.before_listing(engine)
        return engine

    def write_entry(self, endpoint, **fields):
        """Write an endpoint's entry, as it does itself."""
        self.store.put(f"servers/{endpoint.name}", endpoint.entry(**fields))

    def crash(self, endpoint):
        """End an endpoint at once; the store no longer lists it."""
        endpoint.crash()
        self.store.remove(f"servers/{endpoint.name}")

    async def leave(self, endpoint, drain_s):
        """End an endpoint that says so, and serves on for a while."""
        self.write_entry(endpoint, state="draining")
        await anyio.sleep(drain_s)
        self.crash(endpoint)

    async def until_known(self, endpoint, daemons):
        """Wait until some daemons believe what the store says of an endpoint."""
        key = f"servers/{endpoint.name}"
        revision = max(event[2] for event in self.store.events if event[0] == key)

        def knows(daemon):
            return any(
                line["host"] == f"host-{daemon}"
                and line["message_type"] == "belief.changed"
                and line["key"] == key
                and revision_of(line["revision"]) >= revision
                for line in self.lines(daemon)
            )

        await self.until(
            lambda: all(knows(daemon) for daemon in daemons),
            f"{endpoint.name} is known",
        )

    def start_daemon(self, name):
        ports = [free_port() for _ in range(3)]
        store = self.store_addresses.get(name, self.store.address)
        fields = settings_fields(name, store, ports)
        fields["bounds"].update(self.bounds)
        text = fill(TEMPLATE.read_text(), fields)
        self.metrics_ports.append(free_port())
        text = text.replace("127.0.0.1:9464", f"127.0.0.1:{self.metrics_ports[-1]}")
        text = text.replace("[store]", f"[store]\nlease_ms = {self.lease_ms}")
        log = tempfile.TemporaryFile()  # noqa: SIM115
        self._stack.callback(log.close)
        self.logs.append(log)
        self.ports.append(ports)
        self._hosts[name] = RunningHost(name, text, log)
        self.tasks.start_soon(self._hosts[name].run)

    async def kill_daemon(self, name):
        """End a daemon with no time to finish anything."""
        self._hosts[name].scope.cancel()
        await self._hosts[name].ended.wait()
        # Its listeners close with the last reference, as with a process.
        gc.collect()

    async def restart_daemon(self, name):
        """Kill a daemon, and start it again with the settings that it had."""
        await self.kill_daemon(name)
        await self.start_again(name)

    async def start_again(self, name):
        """Start a daemon that was killed with the settings that it had."""
        self._hosts[name] = self._hosts[name].again()
        self.tasks.start_soon(self._hosts[name].run)

    def keep_logs(self):
        """Keep what the daemons have logged beyond the end of the path."""
        for number, log in enumerate(self.logs):
            log.seek(0)
            self.kept_logs[f"host-{number}"] = log.read()

    def lines(self, daemon=0):
        self.logs[daemon].seek(0)
        return [json.loads(line) for line in self.logs[daemon].read().splitlines()]

    def is_owned(self, daemons):
        # A record in the store is not enough: until its owner has begun, a call for
        # an adapter waits, and is refused if that takes long.
        begun = {
            line["engine"]
            for daemon in range(daemons)
            for line in self.lines(daemon)
            if line["message_type"] == "owner.begun"
        }
        return not daemons or begun == {engine.name for engine in self.engines}

    async def until_ready(self, daemon=0):
        async with httpx.AsyncClient(verify=NO_TLS) as client:
            with anyio.fail_after(10):
                while True:
                    try:
                        url = f"http://127.0.0.1:{self.ports[daemon][1]}/v1/ready"
                        if (await client.get(url)).status_code == 200:
                            return
                    except httpx.HTTPError:
                        pass
                    await anyio.sleep(0.02)

    async def until(self, holds, what):
        with anyio.move_on_after(8):
            while not holds():
                await anyio.sleep(0.02)
        assert holds(), what

    async def metrics(self, daemon=0):
        """Return a daemon's page of metrics."""
        async with httpx.AsyncClient(verify=NO_TLS) as client:
            url = f"http://127.0.0.1:{self.metrics_ports[daemon]}/metrics"
            return (await client.get(url)).text

    async def read_counter(self, name):
        """Return the sum of a counter over all daemons, and over its kinds."""
        total = 0.0
        for daemon in range(len(self.metrics_ports)):
            for line in (await self.metrics(daemon)).splitlines():
                if line.startswith(f"knapweedbridge_{name}_total{{"):
                    total += float(line.rpartition(" ")[2])
        return total

    def kept_connection(self, deadline_ms=4000):
        """Return a client whose calls share one connection."""
        return httpx.AsyncClient(
            base_url=f"http://127.0.0.1:{self.ports[0][0]}",
            headers={"Host": "shop.example", "Deadline-Ms": str(deadline_ms)},
            limits=httpx.Limits(max_connections=1),
            timeout=9,
            verify=NO_TLS,
        )

    async def call(
        self, method, path, daemon=0, headers=None, caller="127.0.0.1", **more
    ):
        """Make a call, from an address of its own."""
        url = f"http://127.0.0.1:{self.ports[daemon][0]}{path}"
        sent = {
            "Host": "shop.example",
            "Request-Id": f"id-{os.urandom(4).hex()}",
            "Deadline-Ms": "4000",
            **(headers or {}),
        }
        way = httpx.AsyncHTTPTransport(local_address=caller, verify=NO_TLS)
        async with httpx.AsyncClient(timeout=8, transport=way) as client:
            return await client.request(method, url, headers=sent, **more)

    def name_version(self, adapter, version):
        """Name a version as the operator does; return when it was acknowledged."""
        for engine in self.engines:
            engine.newest[adapter] = version
        entry = {"model": "base", "adapter": adapter, "version": version}
        self.store.put(f"op/version/base.{adapter}", entry)
        return anyio.current_time()

    async def draft(self, model, daemon=0, path="/draft/1", **headers):
        named = {"Model": model, "Token-Counts": "100,30", **headers}
        return await self.call("POST", path, daemon, named, content=b"prompt")


@asynccontextmanager
async def whole_path(
    daemons=1, lease_ms=1000, bounds=None, prepare=nothing, kind=WholePath
):
    async with AsyncExitStack() as stack:
        tasks = await stack.enter_async_context(anyio.create_task_group())
        path = kind(stack, tasks)
        path.lease_ms = lease_ms
        path.bounds = bounds or {}
        path.prepare = prepare
        try:
            await path.start(daemons)
            for daemon in range(daemons):
                await path.until_ready(daemon)
            await path.until(lambda: path.is_owned(daemons), "engines have owners")
            yield path
        finally:
            path.keep_logs()
            tasks.cancel_scope.cancel()


def keep_failed_logs(context, scenario):
    """Write the logs of a failed scenario's daemons to a folder, and name it."""
    path = getattr(context, "path", None)
    if scenario.status.name == "passed" or path is None:
        return
    name = re.sub(r"[^a-z0-9]+", "-", scenario.name.lower()).strip("-")
    folder = FAILED / f"{name[:80]}-{os.getpid()}"
    folder.mkdir(parents=True, exist_ok=True)
    for host, log in path.kept_logs.items():
        (folder / f"{host}.log").write_bytes(log)
    print(f"logs of the daemons: {folder.relative_to(FAILED.parents[1])}")
