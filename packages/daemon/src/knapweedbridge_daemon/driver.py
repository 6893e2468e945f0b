"""Drives the core: one task owns it, and carries out what it asks for."""

import time
from collections.abc import Callable
from typing import Any

import anyio
import httpx
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from knapweedbridge_core import Bridge, events
from knapweedbridge_core.actions import (
    CancelAttempt,
    ClaimTimer,
    ClaimWrite,
    Count,
    Dispatch,
    Finish,
    OrderEndpoint,
    ProbeEndpoint,
    Record,
    RequestReport,
    Resume,
    SendPeer,
    StoreRead,
    StoreWrite,
)
from knapweedbridge_core.timeline import EventFilter, HybridClock, TimelineEvent
from knapweedbridge_daemon.claims import ClaimStore
from knapweedbridge_daemon.endpoints import HttpEndpoint
from knapweedbridge_daemon.errors import EndpointError, StoreError
from knapweedbridge_daemon.gauges import Levels
from knapweedbridge_daemon.leases import Leases
from knapweedbridge_daemon.observer import Observer
from knapweedbridge_daemon.peer_streams import PeerBytes
from knapweedbridge_daemon.peers import Peers
from knapweedbridge_daemon.probes import Prober
from knapweedbridge_daemon.store import KeyValueStore, Transaction

INBOX_EVENTS = 10_000

Step = Dispatch | Resume | Finish


class Driver:
    """The task that owns the core.

    Parameters
    ----------
    bridge : Bridge
        The core; nothing else may change it.
    store : KeyValueStore
        The platform's service.
    client : httpx.AsyncClient
        Connections to endpoints.
    observer : Observer
        Takes records and counts.
    """

    def __init__(
        self,
        bridge: Bridge,
        store: KeyValueStore,
        client: httpx.AsyncClient,
        observer: Observer,
    ) -> None:
        self.bridge: Bridge = bridge
        self.peers: Peers | None = None
        self.prober: Prober | None = None
        self._store = store
        self._leases = Leases(store)
        self._claims = ClaimStore(store)
        self._client = client
        self._observer = observer
        send, receive = anyio.create_memory_object_stream[Any](INBOX_EVENTS)
        self._inbox = send
        self._events = receive
        self._waiting: dict[str, MemoryObjectSendStream[Step]] = {}
        self._tasks: TaskGroup | None = None
        self._carriers: dict[type, Callable[[Any], None]] = {
            SendPeer: self._send_peer,
            Dispatch: self._tell_request,
            Resume: self._tell_request,
            Finish: self._tell_request,
            ClaimWrite: lambda action: self._start(self._write_claims, action),
            ClaimTimer: lambda action: self._start(self._time_claims, action),
            CancelAttempt: lambda action: self._start(self._cancel, action),
            OrderEndpoint: lambda action: self._start(self._order, action),
            RequestReport: lambda action: self._start(self._report, action),
            ProbeEndpoint: lambda action: self._start(self._probe, action),
            StoreRead: lambda action: self._start(self._read, action),
            StoreWrite: lambda action: self._start(self._write, action),
            Record: self._record,
            Count: self._count,
        }

    async def submit(self, event: Any) -> None:
        """Give the core an event."""
        await self._inbox.send(event)

    async def run(self, tasks: TaskGroup, tick_s: float) -> None:
        """Own the core until cancelled."""
        self._tasks = tasks
        tasks.start_soon(self._tick, tick_s)
        async for event in self._events:
            for action in self.bridge.handle(event, time.monotonic()):
                self._carriers[type(action)](action)

    async def _tick(self, tick_s: float) -> None:
        while True:
            await self._inbox.send(events.Tick())
            self._observer.gauge(self._levels)
            await anyio.sleep(tick_s)

    def _levels(self) -> Levels:
        bridge = self.bridge
        return Levels(
            bridge.configuration.generation,
            len(bridge.ledgers),
            len(bridge.members.peers()),
            self.following,
            self.timeline_events,
            self.peers.bytes if self.peers else PeerBytes(),
        )

    def follow(self, request_id: str) -> MemoryObjectReceiveStream[Step]:
        """Return the stream on which the core tells what becomes of a request."""
        send, receive = anyio.create_memory_object_stream[Step](8)
        self._waiting[request_id] = send
        return receive

    def unfollow(self, request_id: str) -> None:
        """Forget a request that `follow` named."""
        self._waiting.pop(request_id, None)

    def following_names(self, names: int) -> list[str]:
        """Name some of the requests that have no final outcome yet."""
        return sorted(self._waiting)[:names]

    @property
    def following(self) -> int:
        """Requests that have no final outcome yet."""
        return len(self._waiting)

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        self._observer.metrics.count(name, value)

    @property
    def timeline_events(self) -> int:
        """Events that the time line holds."""
        return len(self._observer.timeline)

    @property
    def clock(self) -> HybridClock:
        """The clock that stamps this daemon's events."""
        return self._observer.timeline.clock

    def record(self, kind: str, **fields: Any) -> None:
        """Add an event of the shell to the time line."""
        self._observer.take(kind, fields)

    def note_platform(self, part: str, answers: bool) -> None:
        """Record when a part of the platform is lost or answers again."""
        self._observer.note_platform(part, answers)

    def select_timeline(self, wanted: EventFilter) -> list[TimelineEvent]:
        """Return this daemon's events that are wanted."""
        return self._observer.timeline.select(wanted)

    def _start(self, work: Callable[..., Any], action: Any) -> None:
        assert self._tasks is not None
        self._tasks.start_soon(work, action)

    def _send_peer(self, action: SendPeer) -> None:
        if self.peers is not None:
            self.peers.send(action.host, action.message)

    def _tell_request(self, action: Step) -> None:
        stream = self._waiting.get(action.request_id)
        if stream is not None:
            stream.send_nowait(action)

    def _record(self, action: Record) -> None:
        self._observer.take(action.kind, action.fields)

    def _count(self, action: Count) -> None:
        self.count(action.name, action.value)

    async def _write_claims(self, action: ClaimWrite) -> None:
        await self.submit(await self._claims.write(action))

    async def _time_claims(self, action: ClaimTimer) -> None:
        await anyio.sleep(action.delay_s)
        await self.submit(events.ClaimsDue())

    async def _cancel(self, action: CancelAttempt) -> None:
        confirmed = True
        try:
            endpoint = HttpEndpoint(self._client, action.address)
            await endpoint.cancel(action.attempt_id)
        except EndpointError:
            confirmed = False
        await self.submit(events.AttemptCancelled(action.attempt_id, confirmed))

    async def _order(self, action: OrderEndpoint) -> None:
        succeeded, known, detail = True, True, ""
        try:
            await HttpEndpoint(self._client, action.address).order(action)
        except EndpointError as error:
            succeeded, known, detail = False, not error.may_have_applied, str(error)
        ended = events.OrderEnded(
            action.endpoint, action.kind, action.model, succeeded, detail, known
        )
        await self.submit(ended)

    async def _report(self, action: RequestReport) -> None:
        asked_s = time.monotonic()
        try:
            endpoint = HttpEndpoint(self._client, action.address)
            report = await endpoint.report(action.number)
        except EndpointError:
            self.count("endpoint.report_failed")
            return
        reported = events.EndpointReported(
            action.endpoint, report.loaded, report.running, asked_s - report.age_s
        )
        await self.submit(reported)

    async def _probe(self, action: ProbeEndpoint) -> None:
        if self.prober is not None:
            await self.submit(await self.prober.probe(action))

    async def _read(self, action: StoreRead) -> None:
        values: dict[str, tuple[bytes, int]] = {}
        known = True
        try:
            for key in action.keys:
                found = await self._store.read(key)
                if found is not None:
                    values[key] = found
        except StoreError:
            known = False
        await self.submit(events.StoreResponse(action.token, known, known, values))

    async def _write(self, action: StoreWrite) -> None:
        if action.lease_s:
            await self.submit(await self._leases.write(action))
            return
        known, applied = True, False
        try:
            transaction = Transaction(action.compares, action.puts)
            applied = await self._store.write(transaction)
        except StoreError as error:
            known = not error.may_have_applied
        await self.submit(events.StoreResponse(action.token, known, applied, {}))
