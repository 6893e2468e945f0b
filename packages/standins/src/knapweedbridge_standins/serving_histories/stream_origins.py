"""Streams that are taken up at other hosts, while several software versions serve."""

import math
import random
from collections import Counter
from dataclasses import dataclass, field, replace
from functools import partial
from types import SimpleNamespace
from typing import Any, cast

import anyio
from anyio.abc import TaskGroup

from knapweedbridge_core.serving import (
    PROTOCOL,
    CallKind,
    ClusterState,
    DaemonRecord,
    Deployment,
    Endpoint,
    EndpointRecord,
    Route,
    Service,
    StreamOrigin,
    WeightedService,
)
from knapweedbridge_core.serving.origin_messages import OriginRequest, OriginsRecorded
from knapweedbridge_core.serving.protocols import understands
from knapweedbridge_core.serving.software_versions import NO_RECORD, VersionRecord
from knapweedbridge_core.serving.store_events import (
    DaemonGone,
    DaemonNamed,
    DeploymentNamed,
    EndpointGone,
    EndpointNamed,
    OriginsStored,
    ProtocolNamed,
    SoftwareRecorded,
    StoreEvent,
)
from knapweedbridge_core.serving.stream_origins import SWEEP_S, OriginTable
from knapweedbridge_daemon.errors import StoreError
from knapweedbridge_daemon.serving.call import Call
from knapweedbridge_daemon.serving.dialects import CallDetails, DaemonKeys
from knapweedbridge_daemon.serving.hub import Hub
from knapweedbridge_daemon.serving.metrics_registry import MetricsRegistry
from knapweedbridge_daemon.serving.origin_publisher import (
    REFRESH_INTERVAL_S,
    OriginPublisher,
)
from knapweedbridge_daemon.serving.own_records import pack_versions, read_own
from knapweedbridge_daemon.serving.stream_resumer import (
    ANSWER_S,
    ASK_AGAIN_S,
    STARTING_S,
    StreamResumer,
)
from knapweedbridge_daemon.store import Committed, Transaction
from knapweedbridge_standins.virtual_loop import run_virtually

KEYS = DaemonKeys()
DATA_CENTRES = ("x", "y", "z")
HOSTS, MANY_HOSTS = 9, 79
ENDPOINTS = 6
RELEASED, CONSTANT = "released", "constant"
"""A service whose versions change, and one of a single version."""

SETTLED_S = 4.0
PLAYED_S = 40.0
STREAMS_PER_S = 6.0
CALLER_WAITS_S = 15.0
LEASE_S = 3.0
DOWN_S = 5.0
"""The longest from the end of a host's process until the next one has read the store.
What it reads of streams counts from then."""

CONTACT_S = 3.0
"""How long after the last trouble on it a host counts as in touch."""

RECORDS_SHARE = 0.3
"""How often a host that sees a record missing is the one whose turn it is."""

LAG_S = 1.8
"""The longest that a host in touch may know nothing new of the store."""

FOUND_SHARE = 0.5
SHARE_OF = 12
"""Least share of streams that go on at hosts in touch, and of how many at least."""

ROUTES = {
    name: Route(
        name,
        "h",
        "/",
        CallKind.STREAM,
        (WeightedService(name, 1.0),),
        15.0,
        1.0,
        resumable=True,
    )
    for name in (RELEASED, CONSTANT)
}


@dataclass(slots=True)
class _Server:
    """An endpoint as it is."""

    name: str
    service: str
    software: str
    started_ms: int
    leaving: bool = False
    is_up: bool = True

    def record(self) -> EndpointRecord:
        """Return its entry in the store."""
        return EndpointRecord(
            self.name,
            self.service,
            "a:1",
            "x",
            8,
            self.leaving,
            started_ms=self.started_ms,
            software=self.software,
        )


@dataclass(slots=True)
class _Stream:
    """A stream as its caller sees it."""

    name: str
    service: str
    software: str
    until_s: float
    first_recorded: bool = True
    is_found: bool = False


@dataclass(slots=True)
class _Call:
    """What the recorder of origins reads of a call."""

    details: CallDetails
    route: Route
    service: str
    caller_deadline_s: float
    software: str | None = None

    def may_go_to(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint runs the version that began the stream."""
        return self.software in (None, endpoint.record.software)


@dataclass(slots=True)
class _Host:
    """A host, in trouble or not."""

    name: str
    data_centre: str
    protocol: int = PROTOCOL
    incarnation: int = 1
    process: "_Process | None" = None
    is_frozen: bool = False
    reads_store: bool = True
    troubles: int = 0
    troubled_s: float = -math.inf

    def is_in_touch(self, now_s: float) -> bool:
        """Return whether nothing has troubled it for a while."""
        return not self.troubles and now_s >= self.troubled_s + CONTACT_S


def _listed(items: list[StoreEvent]) -> list[StoreEvent]:
    """Return what a list of the store shows after some changes."""
    present: dict[tuple[str, str], StoreEvent] = {}
    for number, item in enumerate(items):
        match item:
            case EndpointNamed(record):
                present["endpoint", record.endpoint] = item
            case EndpointGone(name):
                present.pop(("endpoint", name), None)
            case DaemonNamed(record):
                present["daemon", record.name] = item
            case DaemonGone(name):
                present.pop(("daemon", name), None)
                present.pop(("protocol", name), None)
            case ProtocolNamed(name):
                present["protocol", name] = item
            case SoftwareRecorded(service):
                present["software", service] = item
            case OriginsStored():
                present["origins", str(number)] = item
            case _:
                present["other", type(item).__name__] = item
    return list(present.values())


class _Process:
    """One start of a daemon: all that it knows ends with it."""

    def __init__(self, pool: "_Pool", host: _Host) -> None:
        self.host = host
        self.cluster = ClusterState()
        self.known_s = -math.inf
        self.began_s = anyio.current_time()
        self.read_items = 0
        self.is_alive = True
        self.next_read_s = 0.0
        self.pool = pool
        self.metrics = MetricsRegistry()
        self.hub = _Hub(self)
        hub, send = cast(Hub, self.hub), partial(pool.send, self)
        self.origins = OriginPublisher(hub, send)
        self.resuming = StreamResumer(hub, send, self.origins)

    def record_last(self) -> tuple[int, int]:
        """Record one stream in each table; return how many each holds."""
        now_s = anyio.current_time()
        last = StreamOrigin(RELEASED, "v1", now_s + 1.0)
        tables = self.origins.own, self.hub.origins
        for table in tables:
            table.record("last", last, now_s)
        return len(tables[0]), len(tables[1])

    @property
    def serves(self) -> bool:
        """Whether callers may come here."""
        synced = self.known_s > -math.inf
        return self.is_alive and synced and not self.host.is_frozen

    async def read(self, up_to_s: float) -> None:
        """Read what the store had acknowledged by a moment."""
        now_s = anyio.current_time()
        items = self.pool.store
        news: list[StoreEvent] = []
        is_first = not self.read_items
        if is_first:
            # From here on it knows which versions are there.
            self.began_s = now_s
        while self.read_items < len(items) and items[self.read_items][0] <= up_to_s:
            news.append(items[self.read_items][1])
            self.read_items += 1
        for store_event in _listed(news) if is_first else news:
            if isinstance(store_event, OriginsStored):
                self.hub.origins.record_rows(store_event.origins, now_s)
            else:
                self.cluster.take(store_event, now_s)
        self.cluster.update_clock(now_s)
        self.known_s = max(self.known_s, up_to_s)
        await self.origins.refresh()
        self._record_versions(now_s)

    def _record_versions(self, now_s: float) -> None:
        """Have the store hold the versions on which streams may begin."""
        software = self.cluster.fleet.software
        for service in ROUTES:
            wanted = software.to_record(service, now_s, 0, is_complete=True)
            is_turn = self.pool.luck.random() < RECORDS_SHARE
            if wanted is not None and is_turn and self.host.protocol >= PROTOCOL:
                self.pool.record_versions(service, wanted)


class _Hub:
    """What a daemon's parts share, as far as origins need it."""

    def __init__(self, process: _Process) -> None:
        self._process = process
        self.cluster = process.cluster
        self.identity = process.host
        self.metrics = process.metrics
        self.log = SimpleNamespace(info=lambda *event, **fields: None)
        self.origins = OriginTable()
        self.store_era = 0
        self.dialects = SimpleNamespace(
            daemon_keys=KEYS, store=_Store(process.host, process.pool)
        )

    @property
    def news_age_s(self) -> float:
        return anyio.current_time() - self._process.known_s


class _Store:
    """The store as one host reads and writes it beside its follower."""

    def __init__(self, host: _Host, pool: "_Pool") -> None:
        self._host = host
        self._pool = pool

    era = 0

    async def read(self, key: str) -> tuple[bytes, int] | None:
        """Return a service's record of versions as it stands."""
        await anyio.sleep(self._pool.luck.uniform(0.002, 0.02))
        if not self._host.reads_store or self._host.is_frozen:
            raise StoreError("the host is cut off")
        found = self._pool.records.get(key.rpartition("/")[2])
        return (pack_versions(found), found.revision) if found else None

    async def grant_lease(self, ttl_s: float) -> str:
        return "lease"

    async def commit(self, transaction: Transaction) -> Committed:
        await anyio.sleep(self._pool.luck.uniform(0.002, 0.05))
        if not self._host.reads_store:
            raise StoreError("the host is cut off")
        for key, value in transaction.puts.items():
            written = read_own(KEYS, key, value, 1)
            assert written is not None
            self._pool.write(written)
        return Committed(True, 1)


@dataclass(slots=True)
class _Pool:
    """All hosts, the store's items by time, and the links between hosts."""

    luck: random.Random
    tasks: TaskGroup
    broken: list[str]
    hosts: dict[str, _Host] = field(default_factory=dict)
    store: list[tuple[float, StoreEvent]] = field(default_factory=list)
    cuts: list[tuple[set[str], set[str]]] = field(default_factory=list)
    served: dict[str, set[str]] = field(default_factory=dict)
    records: dict[str, VersionRecord] = field(default_factory=dict)
    sent: Counter[type] = field(default_factory=Counter)

    def write(self, store_event: StoreEvent) -> None:
        """Write something to the store."""
        self.store.append((anyio.current_time(), store_event))

    def record_versions(self, service: str, wanted: VersionRecord) -> None:
        """Write a record of versions, unless it has changed meanwhile."""
        if self.records.get(service, NO_RECORD).revision == wanted.revision:
            written = replace(wanted, revision=wanted.revision + 1)
            self.records[service] = written
            self.write(SoftwareRecorded(service, written))

    def start(self, host: _Host) -> None:
        """Start a host's daemon, with an empty memory."""
        process = host.process = _Process(self, host)
        self.tasks.start_soon(self._run_tasks, process)
        record = DaemonRecord(host.name, host.incarnation, "a:1", host.data_centre)
        self.write(DaemonNamed(record))
        if host.protocol > 1:
            self.write(ProtocolNamed(host.name, host.incarnation, host.protocol))
        self.tasks.start_soon(self._follow, host.process)

    async def _run_tasks(self, process: _Process) -> None:
        """Run a daemon's tasks until it ends."""
        origins = process.origins
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(origins.records.run)
            tasks.start_soon(process.resuming.versions.run)
            while process.is_alive:
                await anyio.sleep(REFRESH_INTERVAL_S)
                if process.serves:
                    await origins.refresh()
            tasks.cancel_scope.cancel()

    async def _follow(self, process: _Process) -> None:
        """Read the store for a daemon, now at once and now late."""
        host = process.host
        await anyio.sleep(self.luck.uniform(0.02, 0.5))
        while process.is_alive:
            if host.reads_store and not host.is_frozen:
                at_s = anyio.current_time()
                await anyio.sleep(self.luck.uniform(0.001, 0.05))
                if process.is_alive and not host.is_frozen:
                    await process.read(at_s)
            longest_s = LAG_S if self.luck.random() < 0.1 else 0.2
            await anyio.sleep(self.luck.uniform(0.02, longest_s))

    def are_cut(self, first: str, second: str) -> bool:
        """Return whether two hosts do not reach each other."""
        return any(
            (first in one and second in other) or (first in other and second in one)
            for one, other in self.cuts
        )

    async def send(self, process: _Process, name: str, message: Any) -> None:
        """Send a message between daemons; it may be late, or lost."""
        host = self.hosts[name]
        now_s = anyio.current_time()
        self.sent[type(message)] += 1
        if isinstance(message, OriginsRecorded) and process.host.is_in_touch(now_s):
            for row in message.rows:
                if len(self.served[row[1]]) < 2:
                    self.broken.append(f"{now_s:.2f} s: one version, yet recorded")
        in_touch = process.host.is_in_touch(now_s) and host.is_in_touch(now_s)
        if in_touch and not understands(host.protocol, message):
            self.broken.append(f"{now_s:.2f} s: {name} does not understand {message}")
        if process.is_alive and not self.are_cut(process.host.name, name):
            longest_s = 0.2 if self.luck.random() < 0.05 else 0.02
            delay_s = self.luck.uniform(0.001, longest_s)
            self.tasks.start_soon(
                self._deliver, process, host.process, message, delay_s
            )

    async def _deliver(
        self, sender: _Process, taker: _Process | None, message: Any, delay_s: float
    ) -> None:
        await anyio.sleep(delay_s)
        if taker is None or not understands(taker.host.protocol, message):
            return
        while taker.is_alive and taker.host.is_frozen:
            await anyio.sleep(0.05)
        is_lost = not sender.is_alive and self.luck.random() < 0.3
        is_cut = self.are_cut(sender.host.name, taker.host.name)
        if taker.is_alive and not (is_lost or is_cut):
            await taker.resuming.handle(sender.host.name, message)


class _Troubles:
    """What happens to hosts."""

    def __init__(self, pool: _Pool, luck: random.Random, kinds: tuple[str, ...]):
        self._pool = pool
        self._luck = luck
        self._kinds = kinds

    async def play(self) -> None:
        """Trouble hosts until cancelled."""
        while True:
            await anyio.sleep(self._luck.uniform(0.2, 2.5))
            trouble = getattr(self, f"_{self._luck.choice(self._kinds)}")
            self._pool.tasks.start_soon(trouble, self._some())

    def _some(self) -> list[_Host]:
        """Choose one host, some, those of a data centre, or all."""
        hosts = list(self._pool.hosts.values())
        chosen = self._luck.random()
        if chosen < 0.1:
            return hosts
        if chosen < 0.25:
            data_centre = self._luck.choice(DATA_CENTRES)
            return [each for each in hosts if each.data_centre == data_centre]
        return self._luck.sample(hosts, self._luck.choice((1, 1, 1, 2, 3)))

    def _begin(self, hosts: list[_Host]) -> None:
        for host in hosts:
            host.troubles += 1

    def _end(self, hosts: list[_Host]) -> None:
        for host in hosts:
            host.troubles -= 1
            host.troubled_s = anyio.current_time()

    async def _kill(self, hosts: list[_Host], protocol: int | None = None) -> None:
        self._begin(hosts)
        for host in hosts:
            if host.process is not None:
                host.process.is_alive = False
                host.process = None
                self._pool.tasks.start_soon(self._lapse, host, host.incarnation)
        await anyio.sleep(self._luck.uniform(0.3, DOWN_S - 1.0))
        for host in hosts:
            if host.process is None:
                host.protocol = protocol or host.protocol
                host.incarnation += 1
                self._pool.start(host)
        self._end(hosts)

    async def _lose_all(self, hosts: list[_Host]) -> None:
        """Kill all hosts at once, now and then with the store away as they start."""
        everyone = list(self._pool.hosts.values())
        if "lose_store" in self._kinds and self._luck.random() < 0.3:
            self._pool.tasks.start_soon(self._lose_store, everyone)
        await self._kill(everyone)

    async def _upgrade(self, hosts: list[_Host]) -> None:
        await self._kill(hosts, self._luck.choice((PROTOCOL - 1, PROTOCOL, PROTOCOL)))

    async def _lapse(self, host: _Host, incarnation: int) -> None:
        await anyio.sleep(LEASE_S)
        if host.incarnation == incarnation:
            self._pool.write(DaemonGone(host.name))

    async def _freeze(self, hosts: list[_Host]) -> None:
        self._begin(hosts)
        for host in hosts:
            host.is_frozen = True
        await anyio.sleep(self._luck.uniform(0.3, 5.0))
        for host in hosts:
            host.is_frozen = False
        self._end(hosts)

    async def _lose_store(self, hosts: list[_Host]) -> None:
        self._begin(hosts)
        for host in hosts:
            host.reads_store = False
        await anyio.sleep(self._luck.uniform(0.5, 9.0))
        for host in hosts:
            host.reads_store = True
        self._end(hosts)

    async def _cut(self, hosts: list[_Host], store: bool = False) -> None:
        names = {each.name for each in hosts}
        others = set(self._pool.hosts) - names
        cut = names, others or names
        self._begin(hosts)
        self._pool.cuts.append(cut)
        if store:
            self._pool.tasks.start_soon(self._lose_store, hosts)
        await anyio.sleep(self._luck.uniform(0.5, 8.0))
        self._pool.cuts.remove(cut)
        self._end(hosts)

    async def _part(self, hosts: list[_Host]) -> None:
        await self._cut(hosts, store=True)


class _Releases:
    """Endpoints that come and go, and the versions that they run."""

    def __init__(self, pool: _Pool, luck: random.Random, are_several: bool) -> None:
        self._pool = pool
        self._luck = luck
        self._are_several = are_several
        self._number = 0
        self._version = 1
        self.servers: dict[str, _Server] = {}
        self._longest_s = luck.choice((4.0, 12.0, 30.0))

    def begin(self) -> None:
        """Start endpoints of one version of each service."""
        for service in (RELEASED, CONSTANT):
            for _ in range(ENDPOINTS):
                self._start(service, "v1")

    def _start(self, service: str, software: str) -> None:
        self._number += 1
        server = _Server(f"e{self._number}", service, software, self._started_ms())
        self.servers[server.name] = server
        self._list(server)

    def _started_ms(self) -> int:
        return round(1e6 + 1000 * anyio.current_time())

    def _list(self, server: _Server) -> None:
        self._pool.served.setdefault(server.service, set()).add(server.software)
        self._pool.write(EndpointNamed(server.record()))

    async def play(self) -> None:
        """Release versions in one way or another until cancelled."""
        while True:
            await anyio.sleep(self._luck.uniform(0.5, self._longest_s))
            if not self._are_several or self._luck.random() < 0.3:
                await self._crash(self._any())
            elif self._luck.random() < 0.3:
                await self._switch(self._next())
            else:
                await self._roll(self._next())

    def _next(self) -> str:
        """Choose a new version, or a previous one."""
        if self._luck.random() < 0.6:
            self._version += 1
            return f"v{self._version}"
        return f"v{self._luck.randint(1, self._version)}"

    def _any(self) -> _Server:
        able = [each for each in self.servers.values() if each.is_up]
        return self._luck.choice(able)

    def of_release(self) -> list[_Server]:
        """Return the endpoints of the service that is released."""
        return [
            each
            for each in self.servers.values()
            if each.service == RELEASED and each.is_up and not each.leaving
        ]

    async def _roll(self, software: str) -> None:
        """Replace endpoints one by one, all of them or some."""
        before = self.of_release()
        before = before[: self._luck.randint(1, len(before))]
        pause_s = self._luck.choice((0.1, 0.6, 2.0))
        for server in before:
            self._start(RELEASED, software)
            self._pool.tasks.start_soon(self._drain, server)
            await anyio.sleep(pause_s)

    async def _switch(self, software: str) -> None:
        """Take all endpoints away at once, and start others."""
        for server in self.of_release():
            self._pool.tasks.start_soon(self._drain, server)
            self._start(RELEASED, software)

    async def _drain(self, server: _Server) -> None:
        await anyio.sleep(self._luck.uniform(0.0, 1.0))
        if server.leaving:
            return
        server.leaving = True
        self._list(server)
        await anyio.sleep(self._luck.uniform(0.5, 4.0))
        server.is_up = False
        del self.servers[server.name]
        self._pool.write(EndpointGone(server.name))

    async def _crash(self, server: _Server) -> None:
        """Crash an endpoint; most come back under their name."""
        if server.leaving:
            return
        server.is_up = False
        await anyio.sleep(self._luck.uniform(0.2, 2.0))
        if server.leaving:
            return
        server.started_ms = self._started_ms()
        server.is_up = True
        self._list(server)

    def has_two(self, service: str, software: str) -> bool:
        """Return whether two endpoints of a version take work."""
        able = [
            each
            for each in self.servers.values()
            if (each.service, each.software) == (service, software)
            and each.is_up
            and not each.leaving
        ]
        return len(able) >= 2


class _Callers:
    """Callers who take streams up that break."""

    def __init__(self, pool: _Pool, luck: random.Random, releases: _Releases) -> None:
        self._pool = pool
        self._luck = luck
        self._releases = releases
        self._number = 0
        self.owed: dict[str, _Stream] = {}
        self.taken_up = 0
        self.asked_again = 0
        self.went_on = 0

    async def play(self) -> None:
        """Begin streams until cancelled."""
        while True:
            await anyio.sleep(self._luck.expovariate(STREAMS_PER_S))
            process = self._process()
            if process is not None:
                self._pool.tasks.start_soon(self.stream, process)

    def _process(self) -> _Process | None:
        able = [
            each.process
            for each in self._pool.hosts.values()
            if each.process is not None and each.process.serves
        ]
        return self._luck.choice(able) if able else None

    def _attempt_id(self) -> str:
        self._number += 1
        return f"r{self._number}"

    async def stream(self, process: _Process) -> None:
        """Have a stream begin, break now and then, and be taken up."""
        service = RELEASED if self._luck.random() < 0.8 else CONSTANT
        details = CallDetails(call_id=self._attempt_id())
        until_s = anyio.current_time() + CALLER_WAITS_S
        call = _Call(details, ROUTES[service], service, until_s)
        server = self._place(process, call)
        if server is None:
            return
        stream = _Stream(details.call_id, service, server.software, until_s)
        stream.first_recorded = process.host.protocol >= PROTOCOL
        while await self._run(process, call, server, stream):
            taken = await self._take_up(stream)
            if taken is None:
                return
            process, call, server = taken
            self.went_on += 1

    def _place(self, process: _Process, call: _Call) -> _Server | None:
        """Choose an endpoint as the host sees them; None where it is not there."""
        fleet = process.cluster.fleet
        now_s = anyio.current_time()
        able = list(filter(call.may_go_to, fleet.of_service(call.service, now_s)))
        if process.host.protocol >= PROTOCOL:
            origins = process.origins
            able = [e for e in able if origins.may_begin(cast(Call, call), e)]
        if not able:
            return None
        server = self._releases.servers.get(self._luck.choice(able).name)
        return server if server is not None and server.is_up else None

    async def _run(
        self, process: _Process, call: _Call, server: _Server, stream: _Stream
    ) -> bool:
        """Run an attempt; return whether it broke off."""
        start = server.started_ms
        if process.host.protocol >= PROTOCOL:
            endpoint = process.cluster.fleet.endpoints[server.name]
            await process.origins.record_start(cast(Call, call), endpoint)
        ends_s = anyio.current_time() + self._luck.uniform(0.3, 8.0)
        cut_s = anyio.current_time() + self._luck.expovariate(0.25)
        while anyio.current_time() < min(ends_s, stream.until_s):
            await anyio.sleep(self._luck.uniform(0.0, 0.2))
            is_same = server.is_up and server.started_ms == start
            if not (process.is_alive and is_same) or anyio.current_time() > cut_s:
                return True
        if process.is_alive:
            process.origins.record_end(cast(Call, call))
        return False

    async def _take_up(self, stream: _Stream) -> tuple[_Process, _Call, _Server] | None:
        """Take a stream up until it goes on; None where it never does."""
        while True:
            pause_s = self._luck.uniform(0.0, self._luck.choice((0.02, 0.5, 3.0)))
            await anyio.sleep(pause_s)
            if anyio.current_time() > stream.until_s:
                return None
            process = self._process()
            if process is None or process.host.protocol < PROTOCOL:
                continue
            call = await self._resume(process, stream)
            if call is None:
                continue
            server = self._place(process, call)
            if server is not None and process.serves:
                return process, call, server

    async def _resume(self, process: _Process, stream: _Stream) -> _Call | None:
        """Have a host find the version; return the call if it may go on."""
        began_s = anyio.current_time()
        resumes = stream.name if self._luck.random() < 0.95 else ""
        details = CallDetails(
            call_id=self._attempt_id(), resumes=resumes, after_event="7"
        )
        route = ROUTES[stream.service]
        call = _Call(details, route, stream.service, stream.until_s)
        self.taken_up += 1
        if anyio.current_time() - process.began_s < STARTING_S:
            self.asked_again += round(3 * ANSWER_S / ASK_AGAIN_S)
        is_upgraded = self._is_upgraded(process, stream)
        refusal = await process.resuming.resume(cast(Call, call))
        now_s = anyio.current_time()
        if not process.is_alive:
            return None
        if (refusal is None) != (call.software is not None):
            self._break(now_s, stream, f"{refusal} at {call.software}")
        if call.software not in (None, stream.software):
            where = f"{process.host.name}, {process.metrics.counters}"
            self._break(now_s, stream, f"joined to {call.software} at {where}")
        self._note(process, stream, call, began_s, is_upgraded)
        return call if refusal is None else None

    def _is_upgraded(self, process: _Process, stream: _Stream) -> bool:
        """Return whether a host has started since, among daemons that record nothing.

        It cannot know which versions were there before; nor, at first, that the last of
        those daemons has been upgraded.
        """
        is_older = stream.until_s - CALLER_WAITS_S < process.began_s
        cluster = process.cluster
        protocols = map(cluster.protocol_of, cluster.daemons)
        return is_older and any(protocol < PROTOCOL for protocol in protocols)

    def _note(
        self,
        process: _Process,
        stream: _Stream,
        call: _Call,
        began_s: float,
        is_upgraded: bool,
    ) -> None:
        """Count a stream that ought to be found."""
        has_two = self._releases.has_two(stream.service, stream.software)
        is_owed = process.host.is_in_touch(began_s) and stream.first_recorded
        if not (has_two and is_owed):
            return
        is_found = call.software is not None
        if call.details.resumes:
            stream.is_found = stream.is_found or is_found
            self.owed[stream.name] = stream
        is_single = len(self._pool.served[stream.service]) == 1
        if is_single and not is_found and not is_upgraded:
            self._break(began_s, stream, "one version, yet refused")

    def _break(self, at_s: float, stream: _Stream, what: str) -> None:
        self._pool.broken.append(
            f"{at_s:.2f} s: {stream.name} of {stream.software}: {what}"
        )


CALM: tuple[str, ...] = ()
TROUBLES = ("kill", "freeze", "lose_store", "cut", "part", "upgrade")
ROWS: tuple[tuple[int, bool, tuple[str, ...]], ...] = (
    (HOSTS, False, TROUBLES),
    (HOSTS, True, CALM),
    (HOSTS, True, ("kill",)),
    (HOSTS, True, TROUBLES),
    (HOSTS, True, ("kill", "kill", "part", "lose_store")),
    (MANY_HOSTS, True, TROUBLES),
)
"""Hosts, whether versions change, and what happens to hosts; in turn by seed."""

LOST_ROWS: tuple[tuple[int, bool, tuple[str, ...]], ...] = (
    (HOSTS, False, ("lose_all",)),
    (HOSTS, True, ("lose_all", "kill", "lose_store", "lose_store")),
    (HOSTS, True, ("lose_all", "kill")),
    (HOSTS, True, ("lose_all", "freeze", "part", "kill")),
    (MANY_HOSTS, True, ("lose_all", "kill")),
    (MANY_HOSTS, True, ("lose_all", "kill", "part")),
)
"""The same, where all hosts are lost at once."""

UNSTORED = {"lose_store", "part"}
"""Troubles beside which a host that is lost may not have written what it knew."""


class _History:
    """One seeded run."""

    def __init__(
        self, seed: int, rows: tuple[tuple[int, bool, tuple[str, ...]], ...]
    ) -> None:
        self._luck = random.Random(seed)
        self._hosts, self._are_several, self._kinds = rows[seed % len(rows)]
        self.broken: list[str] = []
        self.found: Counter[bool] = Counter()
        self.sent: Counter[type] = Counter()
        self.went_on = 0

    async def play(self) -> None:
        """Play all of it."""
        async with anyio.create_task_group() as tasks:
            pool = _Pool(self._luck, tasks, self.broken)
            releases = _Releases(pool, self._luck, self._are_several)
            callers = _Callers(pool, self._luck, releases)
            services = {name: Service(name, "/health", 100) for name in ROUTES}
            deployment = Deployment(1, tuple(ROUTES.values()), services)
            pool.write(DeploymentNamed(deployment))
            releases.begin()
            for number in range(self._hosts):
                data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
                host = _Host(f"h{number}", data_centre)
                pool.hosts[host.name] = host
                pool.start(host)
            await anyio.sleep(SETTLED_S)
            async with anyio.create_task_group() as playing:
                playing.start_soon(callers.play)
                playing.start_soon(releases.play)
                if self._kinds:
                    playing.start_soon(_Troubles(pool, self._luck, self._kinds).play)
                await anyio.sleep(PLAYED_S)
                playing.cancel_scope.cancel()
            await anyio.sleep(DOWN_S + CALLER_WAITS_S + SWEEP_S)
            self._check(pool, callers)
            self._check_forgotten(pool)
            tasks.cancel_scope.cancel()

    def _check(self, pool: _Pool, callers: _Callers) -> None:
        self.found = Counter(each.is_found for each in callers.owed.values())
        self.sent, self.went_on = pool.sent, callers.went_on
        owed = self.found.total()
        if not callers.went_on:
            self.broken.append("no stream went on")
        is_stored = "lose_all" not in self._kinds or UNSTORED.isdisjoint(self._kinds)
        if is_stored and owed >= SHARE_OF and self.found[True] < FOUND_SHARE * owed:
            self.broken.append(f"found {self.found[True]} of {owed} streams")
        if pool.sent[OriginRequest] > 3 * callers.taken_up + callers.asked_again:
            self.broken.append(f"{pool.sent[OriginRequest]} questions")

    def _check_forgotten(self, pool: _Pool) -> None:
        """Record one more stream at each host: those that are over are gone."""
        for host in pool.hosts.values():
            if host.process is None:
                continue
            sizes = host.process.record_last()
            if max(sizes) > 1:
                self.broken.append(f"{host.name} keeps {sizes} streams that are over")


def play_stream_origins(seed: int) -> list[str]:
    """Return which streams were joined to another version, or refused needlessly."""
    return _play(_History(seed, ROWS))


def play_lost_hosts(seed: int) -> list[str]:
    """Return the same where all hosts are lost at once."""
    return _play(_History(seed, LOST_ROWS))


def _play(history: _History) -> list[str]:
    run_virtually(history.play())
    return history.broken
