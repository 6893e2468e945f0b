"""A pool of cores on fakes in virtual time, in one thread, seeded by its caller."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from typing import Any

from knapweedbridge_core import Bridge, events
from knapweedbridge_core.actions import (
    CancelAttempt,
    Dispatch,
    Finish,
    OrderEndpoint,
    ProbeEndpoint,
    RequestReport,
    SendPeer,
    StoreRead,
    StoreWrite,
)
from knapweedbridge_core.configuration import Configuration
from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_core.outcomes import (
    Complete,
    FinalOutcome,
    NotRun,
    Outcome,
    Reason,
    Unknown,
)
from knapweedbridge_standins.history.store import FakeStore

WIRE_S = 0.001
STORE_S = 0.002
LOAD_S = 0.1
TICK_S = 0.2


@dataclass(slots=True)
class VirtualClock:
    """Runs calls at their times, in order."""

    now_s: float = 1000.0
    _calls: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _order: count = field(default_factory=count)

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Run a call later."""
        entry = (self.now_s + delay_s, next(self._order), call)
        heapq.heappush(self._calls, entry)

    def run(self, for_s: float) -> None:
        """Let virtual time pass."""
        ends_s = self.now_s + for_s
        while self._calls and self._calls[0][0] <= ends_s:
            self.now_s, _, call = heapq.heappop(self._calls)
            call()
        self.now_s = ends_s


@dataclass(slots=True)
class _Running:
    request: events.Request
    end: Callable[[Outcome], None]
    started: bool = False


@dataclass(slots=True)
class FakeEngine:
    """An engine that serves `batch` requests at a time, the others wait in it.

    Parameters
    ----------
    leaving : bool
        Whether its reports say that it leaves.
    refuses : bool
        Whether it then refuses new work as well.
    """

    name: str
    clock: VirtualClock
    batch: int
    service_s: Callable[[events.Request], float]
    restart_s: float = 1.0
    crashing: frozenset[str] = frozenset()
    loaded: set[AdapterVersion] = field(default_factory=set)
    running: dict[str, _Running] = field(default_factory=dict)
    up: bool = True
    leaving: bool = False
    losses: int = 0
    refuses: bool = True
    asked_s: list[float] = field(default_factory=list)
    peak: int = 0

    def begin(
        self, attempt_id: str, request: events.Request, end: Callable[[Outcome], None]
    ) -> None:
        """Take a request."""
        self.asked_s.append(self.clock.now_s)
        if not self.up:
            end(NotRun(Reason.CONNECT_FAILED))
        elif self.leaving and self.refuses:
            end(NotRun(Reason.ENDPOINT_LEAVING))
        elif request.model not in self.loaded:
            end(NotRun(Reason.ENDPOINT_REFUSED))
        else:
            self.running[attempt_id] = _Running(request, end)
            self.peak = max(self.peak, len(self.running))
            if request.fingerprint in self.crashing:
                self.clock.after(0.05, lambda: self._crash_by(attempt_id))
            self._start_next()

    def _crash_by(self, attempt_id: str) -> None:
        if attempt_id in self.running:
            self.restart()

    def restart(self) -> None:
        """Lose all that runs and is loaded, and come back cold."""
        self.losses += 1
        self.up = False
        self.loaded.clear()
        running, self.running = self.running, {}
        for held in running.values():
            held.end(Unknown(Reason.STREAM_BROKEN))
        self.clock.after(self.restart_s, self._come_back)

    def _come_back(self) -> None:
        self.up = True

    def break_stream(self, attempt_id: str) -> None:
        """Break one stream of an engine that lives on."""
        self.running.pop(attempt_id).end(Unknown(Reason.STREAM_BROKEN))
        self._start_next()

    def cancel(self, attempt_id: str) -> bool:
        """Stop a request; False where the engine cannot be told."""
        self.running.pop(attempt_id, None)
        if self.up:
            self._start_next()
        return self.up

    def _start_next(self) -> None:
        active = sum(held.started for held in self.running.values())
        for attempt_id, held in self.running.items():
            if active >= self.batch:
                return
            if not held.started:
                held.started = True
                active += 1
                self._serve(attempt_id, held)

    def _serve(self, attempt_id: str, held: _Running) -> None:
        def done() -> None:
            if self.running.get(attempt_id) is held:
                del self.running[attempt_id]
                held.end(Complete(8))
                self._start_next()

        self.clock.after(self.service_s(held.request), done)


class VirtualPool:
    """Cores that talk by messages, engines and a store, without input or output.

    Parameters
    ----------
    daemons : int
        Number of cores.
    configuration : Configuration
        In force everywhere from the start.
    engines : dict of str to FakeEngine
        The engines that the configuration names.
    make_bridge : callable
        Makes the core of a host and its data centre.
    """

    def __init__(
        self,
        daemons: int,
        configuration: Configuration,
        clock: VirtualClock,
        engines: dict[str, FakeEngine],
        make_bridge: Callable[[str, str], Bridge] = Bridge,
    ) -> None:
        self.clock = clock
        self.engines = engines
        self.hosts = [f"host-{place}" for place in range(daemons)]
        self.bridges = {host: make_bridge(host, "dc1") for host in self.hosts}
        self.finished: dict[str, tuple[FinalOutcome, float]] = {}
        self.requests: dict[str, events.Request] = {}
        self.dispatches = 0
        self.listed = tuple(
            events.ListedHost(host, "daemon", "dc1", "127.0.0.1:1", False)
            for host in self.hosts
        )
        self.on_finish: Callable[[str, FinalOutcome], None] = lambda name, outcome: None
        self._by_address = {
            entry.address: engines[entry.name]
            for entry in configuration.endpoints.values()
        }
        self.store = FakeStore(wrote=lambda key, value: None)
        self._carriers: dict[type, Callable[[str, Any], None]] = {
            SendPeer: self._send,
            Dispatch: self._dispatch,
            Finish: self._finish,
            OrderEndpoint: self._order,
            RequestReport: self._report,
            ProbeEndpoint: self._probe,
            CancelAttempt: self._cancel,
            StoreRead: self._call_store,
            StoreWrite: self._call_store,
        }
        self._begin(configuration)

    def _begin(self, configuration: Configuration) -> None:
        for host in self.hosts:
            self.tell(host, events.ConfigurationRead(configuration))
            self.tell(host, events.HostsListed(self.listed))
            for peer in self.hosts:
                if peer != host:
                    self.tell(host, events.PeerConnected(peer))
            self._tick(host)
        self.clock.run(2.0)

    def _tick(self, host: str) -> None:
        self.tell(host, events.Tick())
        self.clock.after(TICK_S, lambda: self._tick(host))

    def tell(self, host: str, event: Any) -> None:
        """Give an event to a core and carry out what it asks for."""
        for action in self.bridges[host].handle(event, self.clock.now_s):
            carrier = self._carriers.get(type(action))
            if carrier is not None:
                carrier(host, action)

    def _later(self, delay_s: float, host: str, event: Any) -> None:
        self.clock.after(delay_s, lambda: self.tell(host, event))

    def ask(self, host: str, request: events.Request) -> None:
        """Send a request to a host."""
        self.requests[request.request_id] = request
        self.tell(host, events.RequestArrived(request))

    def list_leaving(self, engine: str) -> None:
        """Let the platform's list show that an engine leaves."""
        line = events.ListedHost(engine, "endpoint", "dc1", "127.0.0.1:1", True)
        for host in self.hosts:
            self.tell(host, events.HostsListed((*self.listed, line)))

    def load(self, engine: str, model: AdapterVersion) -> None:
        """Put an adapter on an engine before the owners read its report."""
        self.engines[engine].loaded.add(model)

    def _send(self, host: str, action: SendPeer) -> None:
        self._later(WIRE_S, action.host, events.PeerMessage(host, action.message))

    def _dispatch(self, host: str, action: Dispatch) -> None:
        self.dispatches += 1
        request = self.requests[action.request_id]

        def end(outcome: Outcome) -> None:
            ended = events.AttemptEnded(request.request_id, action.attempt_id, outcome)
            self._later(WIRE_S, host, ended)

        engine = self.engines[action.endpoint]
        self.clock.after(WIRE_S, lambda: engine.begin(action.attempt_id, request, end))

    def _finish(self, host: str, action: Finish) -> None:
        self.finished[action.request_id] = (action.outcome, self.clock.now_s)
        self.on_finish(action.request_id, action.outcome)

    def _order(self, host: str, action: OrderEndpoint) -> None:
        engine = self.engines[action.endpoint]

        def carry_out() -> None:
            if engine.up and action.kind == "load":
                engine.loaded.add(action.model)
            elif engine.up:
                engine.loaded.discard(action.model)
            ended = events.OrderEnded(
                action.endpoint, action.kind, action.model, engine.up
            )
            self.tell(host, ended)

        self.clock.after(LOAD_S if action.kind == "load" else WIRE_S, carry_out)

    def _report(self, host: str, action: RequestReport) -> None:
        engine = self.engines[action.endpoint]
        if not engine.up:
            self.clock.after(1.0, lambda: self._report(host, action))
            return
        running: dict[AdapterVersion, int] = {}
        for held in engine.running.values():
            model = held.request.model
            if model is not None:
                running[model] = running.get(model, 0) + 1
        report = events.EndpointReported(
            action.endpoint, tuple(sorted(engine.loaded)), running, self.clock.now_s
        )
        self._later(WIRE_S, host, report)

    def _probe(self, host: str, action: ProbeEndpoint) -> None:
        engine = self.engines[action.endpoint]
        probed = events.EndpointProbed(
            action.endpoint,
            engine.up,
            engine.up and engine.leaving,
            tuple(sorted(engine.loaded)) if engine.up else (),
            str(engine.losses),
        )
        self._later(2 * WIRE_S, host, probed)

    def _cancel(self, host: str, action: CancelAttempt) -> None:
        engine = self._by_address[action.address]
        confirmed = engine.cancel(action.attempt_id)
        cancelled = events.AttemptCancelled(action.attempt_id, confirmed)
        self._later(2 * WIRE_S, host, cancelled)

    def _call_store(self, host: str, action: StoreRead | StoreWrite) -> None:
        def answer() -> None:
            replied = self.store.call(action, self.clock.now_s)
            if replied is not None:
                self.tell(host, replied)

        self.clock.after(STORE_S, answer)
