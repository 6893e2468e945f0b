"""Several daemon cores with their network, service and engines, from a seed."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from typing import Any

import msgpack

from knapweedbridge_core import (
    Bridge,
    Complete,
    NotRun,
    Outcome,
    Reason,
    Unknown,
    events,
)
from knapweedbridge_core.actions import (
    CancelAttempt,
    Dispatch,
    Finish,
    OrderEndpoint,
    Record,
    RequestReport,
    Resume,
    SendPeer,
    StoreRead,
    StoreWrite,
)
from knapweedbridge_core.configuration import Configuration, build
from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_standins.history.checker import Checker
from knapweedbridge_standins.history.engine import FakeEngine, Stream
from knapweedbridge_standins.history.store import FakeStore

TICK_S = 0.5
LINK_S = 0.3
SILENCE_S = 2.0
LIST_S = 2.0
STORE_TIMEOUT_S = 2.0
ORDER_TIMEOUT_S = 5.0
CLOSED_SEEN_S = 0.5
DATA_CENTRE = "dc1"


@dataclass(slots=True)
class Node:
    """One daemon: its core, its clock and what happens to it.

    Parameters
    ----------
    offset_s, rate : float
        Its monotonic clock reads ``offset_s + rate * time``.
    pause_before_order_s : float
        The next eviction is checked, then the daemon pauses this long, then sends.
    """

    bridge: Bridge
    incarnation: int
    offset_s: float
    rate: float = 1.0
    alive: bool = True
    paused: bool = False
    backlog: list[Any] = field(default_factory=list)
    pause_before_order_s: float = 0.0
    draining: bool = False

    def clock_s(self, now_s: float) -> float:
        """Read the daemon's monotonic clock."""
        return self.offset_s + self.rate * now_s


class World:
    """A history under way; one thread, virtual time.

    Parameters
    ----------
    seed : int
        The same seed gives the same history.
    daemons, engines, slots, adapters : int
        How many there are.
    checks_fencing : bool
        Whether the engines refuse old orders.
    stream_s : float
        Mean duration of a request, in seconds.
    """

    def __init__(
        self,
        seed: int,
        daemons: int = 3,
        engines: int = 2,
        slots: int = 3,
        adapters: int = 8,
        checks_fencing: bool = False,
        stream_s: float = 2.0,
    ) -> None:
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.checker = Checker()
        self.stream_s = stream_s
        self.store = FakeStore(self._wrote)
        self.engines = {
            f"draft-{place}": FakeEngine(
                f"draft-{place}", slots, checks_fencing, self.checker
            )
            for place in range(engines)
        }
        self.models = [AdapterVersion(f"a{n}", "1") for n in range(adapters)]
        self.configuration = self._build(slots, checks_fencing)
        self.nodes: dict[str, Node] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.waiting: dict[str, float] = {}
        self.longest_wait_s = 0.0
        self.closed_seen_s = CLOSED_SEEN_S
        self.order_delay_s = 0.0
        self.report_lag_s = 0.0
        self.order_sent: Callable[[str, OrderEndpoint], None] | None = None
        self.late_orders: list[OrderEndpoint] = []
        self._asked: dict[str, AdapterVersion] = {}
        self._links: set[tuple[str, str]] = set()
        self._heard_s: dict[tuple[str, str], float] = {}
        self._arrival_s: dict[tuple[str, str], float] = {}
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()
        self._requests = count(1)
        self._carriers: dict[type, Callable[[str, Any], None]] = {
            SendPeer: self._send_peer,
            Dispatch: self._dispatch,
            Finish: self._finish,
            OrderEndpoint: self._order,
            RequestReport: self._report,
            CancelAttempt: self._cancel,
            Resume: self._resume,
            StoreRead: self._call_store,
            StoreWrite: self._call_store,
            Record: self._record,
        }
        for place in range(daemons):
            self.start(f"host-{place}")
        self._every(LIST_S, self._list_hosts)
        self._every(LINK_S, self._keep_links)

    def _build(self, slots: int, checks_fencing: bool) -> Configuration:
        sections: dict[str, dict[str, str]] = {"team optics": {}}
        sections["weight_store"] = {"loads_per_s": "10"}
        for model in self.models:
            adapter = {"team": "optics", "base_model": "namib-7b"}
            sections[f"adapter {model.adapter}"] = adapter
            sections[f"version {model}"] = {}
        for port, name in enumerate(self.engines, 1):
            sections[f"endpoint {name}"] = {
                "address": f"127.0.0.1:{port}",
                "data_centre": DATA_CENTRE,
                "base_model": "namib-7b",
                "slots": str(slots),
                "checks_fencing": "yes" if checks_fencing else "no",
            }
        configuration, faults = build(1, sections)
        assert not faults, faults
        return configuration

    # -- time ---------------------------------------------------------------

    def at(self, at_s: float, work: Callable[[], None]) -> None:
        """Do something at a virtual time."""
        heapq.heappush(self._queue, (at_s, next(self._sequence), work))

    def after(self, delay_s: float, work: Callable[[], None]) -> None:
        """Do something after a delay."""
        self.at(self.now_s + delay_s, work)

    def _every(self, period_s: float, work: Callable[[], None]) -> None:
        def again() -> None:
            work()
            self.after(period_s, again)

        self.after(0.0, again)

    def run(self, until_s: float) -> None:
        """Go on until a virtual time."""
        while self._queue and self._queue[0][0] <= until_s:
            at_s, _, work = heapq.heappop(self._queue)
            self.now_s = max(self.now_s, at_s)
            work()
        self.now_s = until_s

    # -- daemons ------------------------------------------------------------

    def start(self, host: str) -> None:
        """Start a daemon, or start it again."""
        before = self.nodes.get(host)
        incarnation = before.incarnation + 1 if before else 1
        bridge = Bridge(host, DATA_CENTRE, incarnation)
        node = Node(bridge, incarnation, self.rng.uniform(100, 1000))
        self.nodes[host] = node
        self.tell(host, events.ConfigurationRead(self.configuration))
        self._list_hosts()
        self._tick(host, node)

    def kill(self, host: str) -> None:
        """End a daemon at once; its connections close a little later."""
        node = self.nodes[host]
        node.alive = False
        self._links = {pair for pair in self._links if host not in pair}
        for request_id in [key for key in self.waiting if key.startswith(f"{host}.")]:
            del self.waiting[request_id]
        prefix = f"{host}/{node.incarnation}/"
        for engine in self.engines.values():
            self.after(self.closed_seen_s, partial(engine.close, prefix))

    def pause(self, host: str, seconds: float) -> None:
        """Stop a daemon's processor; what arrives waits until it wakes."""
        node = self.nodes[host]
        node.paused = True
        self.after(seconds, lambda: self._wake(host, node))

    def _wake(self, host: str, node: Node) -> None:
        node.paused = False
        backlog, node.backlog = node.backlog, []
        for event in backlog:
            self._handle(host, node, event)

    def drain(self, host: str) -> None:
        """Ask a daemon to hand over and end."""
        self.nodes[host].draining = True
        self.tell(host, events.DrainStarted())

    def cut(self, sender: str, receiver: str) -> None:
        """Let nothing pass from one daemon to another."""
        self.cuts.add((sender, receiver))

    def isolate(self, host: str) -> None:
        """Cut a daemon from its peers and the service, not from the engines."""
        self.store.unreachable.add(host)
        for other in self.nodes:
            if other != host:
                self.cuts |= {(host, other), (other, host)}

    def heal(self) -> None:
        """Mend all cuts."""
        self.cuts.clear()
        self.store.unreachable.clear()

    def live(self) -> list[str]:
        """Name the daemons that take requests."""
        return [
            name
            for name, node in self.nodes.items()
            if node.alive and not node.paused and not node.draining
        ]

    def _tick(self, host: str, node: Node) -> None:
        if node.alive:
            self._take(host, node, events.Tick())
            self.after(TICK_S, lambda: self._tick(host, node))

    def tell(self, host: str, event: Any) -> None:
        """Give a daemon an event now."""
        self._take(host, self.nodes[host], event)

    def _tell_later(self, delay_s: float, host: str, node: Node, event: Any) -> None:
        self.after(delay_s, lambda: self._take(host, node, event))

    def _take(self, host: str, node: Node, event: Any) -> None:
        if not node.alive:
            return
        if not node.paused:
            self._handle(host, node, event)
        elif not isinstance(event, events.Tick) or event not in node.backlog[-1:]:
            node.backlog.append(event)

    def _handle(self, host: str, node: Node, event: Any) -> None:
        for action in node.bridge.handle(event, node.clock_s(self.now_s)):
            carrier = self._carriers.get(type(action))
            if carrier is not None:
                carrier(host, action)

    # -- network ------------------------------------------------------------

    def _hosts(self) -> tuple[events.ListedHost, ...]:
        return tuple(
            events.ListedHost(name, "daemon", DATA_CENTRE, "127.0.0.1:2", False)
            for name in self.nodes
        )

    def _list_hosts(self) -> None:
        for host in self.nodes:
            self.tell(host, events.HostsListed(self._hosts()))

    def _keep_links(self) -> None:
        for pair in [(a, b) for a in self.nodes for b in self.nodes if a != b]:
            sender, receiver = (self.nodes[name] for name in pair)
            ready = sender.alive and receiver.alive and not sender.paused
            open_now = ready and pair not in self.cuts and not receiver.paused
            if open_now:
                self._heard_s[pair] = self.now_s
            if open_now and pair not in self._links:
                self._links.add(pair)
                self.tell(pair[0], events.PeerConnected(pair[1]))
            elif not open_now and self._is_silent(pair):
                self._links.discard(pair)
                self.tell(pair[0], events.PeerDisconnected(pair[1]))

    def _is_silent(self, pair: tuple[str, str]) -> bool:
        silent_s = self.now_s - self._heard_s.get(pair, 0.0)
        return pair in self._links and silent_s >= SILENCE_S

    def _delay_s(self) -> float:
        return self.rng.uniform(0.001, 0.005)

    def _send_peer(self, host: str, action: SendPeer) -> None:
        pair = (host, action.host)
        if pair not in self._links or pair in self.cuts:
            return
        arrival_s = max(self.now_s + self._delay_s(), self._arrival_s.get(pair, 0.0))
        self._arrival_s[pair] = arrival_s
        node = self.nodes[action.host]
        heard = events.PeerMessage(host, action.message)
        self.at(arrival_s, lambda: self._take(action.host, node, heard))

    # -- service ------------------------------------------------------------

    def _call_store(self, host: str, action: StoreRead | StoreWrite) -> None:
        node = self.nodes[host]
        store = self.store

        def arrive() -> None:
            reply = None
            if not store.down and host not in store.unreachable:
                reply = store.call(action, self.now_s)
            lost = events.StoreResponse(action.token, False, False, {})
            delay_s = store.delay_s if reply else STORE_TIMEOUT_S
            self._tell_later(delay_s, host, node, reply or lost)

        self.after(store.delay_s, arrive)

    def _wrote(self, key: str, value: bytes) -> None:
        if "/owner/" in key:
            record = msgpack.unpackb(value)
            endpoint = key.rpartition("/")[2]
            self.checker.recorded(self.now_s, endpoint, record["number"])

    # -- engines ------------------------------------------------------------

    def _order(self, host: str, action: OrderEndpoint) -> None:
        node = self.nodes[host]
        if node.clock_s(self.now_s) >= action.not_after_s:
            self._tell_later(0.0, host, node, self._ended(action, False, True))
            return
        pause_s = 0.0
        if action.kind == "evict":
            pause_s, node.pause_before_order_s = node.pause_before_order_s, 0.0
        if pause_s:
            self.late_orders.append(action)
            self.pause(host, pause_s)
        arrive = self._evict if action.kind == "evict" else self._load
        if self.order_sent is not None:
            self.order_sent(host, action)
        delay_s = pause_s + self.order_delay_s + self._delay_s()
        self.after(delay_s, lambda: arrive(host, node, action))

    @staticmethod
    def _ended(
        action: OrderEndpoint, succeeded: bool, known: bool
    ) -> events.OrderEnded:
        return events.OrderEnded(
            action.endpoint, action.kind, action.model, succeeded, "", known
        )

    def _answer_order(
        self, host: str, node: Node, action: OrderEndpoint, succeeded: bool
    ) -> None:
        engine = self.engines[action.endpoint]
        if engine.lose_replies > 0:
            engine.lose_replies -= 1
            lost = self._ended(action, False, False)
            self._tell_later(ORDER_TIMEOUT_S, host, node, lost)
            return
        ended = self._ended(action, succeeded, True)
        self._tell_later(self._delay_s(), host, node, ended)

    def _evict(self, host: str, node: Node, action: OrderEndpoint) -> None:
        done = self.engines[action.endpoint].evict(action, self.now_s)
        self._answer_order(host, node, action, done)

    def _load(self, host: str, node: Node, action: OrderEndpoint) -> None:
        engine = self.engines[action.endpoint]
        if not engine.begin_load(action):
            self._answer_order(host, node, action, False)
            return

        def end() -> None:
            engine.end_load(action.model)
            self._answer_order(host, node, action, True)

        self.after(engine.load_s, end)

    def _report(self, host: str, action: RequestReport) -> None:
        node = self.nodes[host]
        engine = self.engines[action.endpoint]
        asked_s = node.clock_s(self.now_s)

        def arrive() -> None:
            if engine.checks_fencing:
                number = action.number
                engine.highest_number = max(engine.highest_number, number)
            reported = events.EndpointReported(
                engine.name, tuple(sorted(engine.loaded)), engine.running(), asked_s
            )
            delay_s = self.report_lag_s + self._delay_s()
            self._tell_later(delay_s, host, node, reported)

        self.after(self._delay_s(), arrive)

    # -- requests -----------------------------------------------------------

    def ask(self, host: str, model: AdapterVersion, deadline_s: float = 60.0) -> str:
        """Send one request to a daemon and return its id."""
        node = self.nodes[host]
        request_id = f"{host}.r{next(self._requests)}"
        request = events.Request(
            request_id=request_id,
            caller="counter",
            team="optics",
            model=model,
            service="",
            priority="normal",
            non_idempotent=False,
            idempotency_key="",
            deadline_s=node.clock_s(self.now_s) + deadline_s,
            fingerprint=request_id,
        )
        self.waiting[request_id] = self.now_s
        self._asked[request_id] = model
        self.tell(host, events.RequestArrived(request))
        return request_id

    def load(self, per_s: float, until_s: float) -> None:
        """Send requests of skewed popularity to random daemons."""

        def again() -> None:
            hosts = self.live()
            place = int(self.rng.paretovariate(0.8)) - 1
            model = self.models[place % len(self.models)]
            if hosts:
                self.ask(self.rng.choice(hosts), model)
            if self.now_s < until_s:
                self.after(self.rng.expovariate(per_s), again)

        self.after(self.rng.expovariate(per_s), again)

    def _dispatch(self, host: str, action: Dispatch) -> None:
        node = self.nodes[host]
        asked = self._asked[action.request_id]
        self._note_wait(action.request_id)
        self.after(self._delay_s(), lambda: self._stream(host, node, action, asked))

    def _note_wait(self, request_id: str) -> None:
        since_s = self.waiting.pop(request_id, None)
        if since_s is not None:
            waited_s = self.now_s - since_s
            self.longest_wait_s = max(self.longest_wait_s, waited_s)

    def _stream(
        self, host: str, node: Node, action: Dispatch, asked: AdapterVersion
    ) -> None:
        engine = self.engines[action.endpoint]
        if asked not in engine.loaded:
            refused = NotRun(Reason.ENDPOINT_REFUSED)
            self._end_attempt(host, node, action, refused)
            return
        key = f"{host}/{node.incarnation}/{action.attempt_id}"
        broken = Unknown(Reason.STREAM_BROKEN, 1)
        engine.streams[key] = Stream(
            asked, lambda: self._end_attempt(host, node, action, broken)
        )
        self.checker.ran(self.now_s, str(asked), str(engine.streams[key].model))

        def end() -> None:
            if engine.streams.pop(key, None) is not None:
                self._end_attempt(host, node, action, Complete(1))

        self.after(self.rng.uniform(0.2, 2 * self.stream_s), end)

    def _cancel(self, host: str, action: CancelAttempt) -> None:
        node = self.nodes[host]
        key = f"{host}/{node.incarnation}/{action.attempt_id}"
        cancelled = events.AttemptCancelled(action.attempt_id, True)

        def arrive() -> None:
            for engine in self.engines.values():
                engine.streams.pop(key, None)
            self._tell_later(self._delay_s(), host, node, cancelled)

        self.after(self._delay_s(), arrive)

    def _resume(self, host: str, action: Resume) -> None:
        failed = Unknown(Reason.RESUME_FAILED, 1)
        ended = events.AttemptEnded(action.request_id, action.attempt_id, failed)
        self._tell_later(self._delay_s(), host, self.nodes[host], ended)

    def _end_attempt(
        self, host: str, node: Node, action: Dispatch, outcome: Outcome
    ) -> None:
        ended = events.AttemptEnded(action.request_id, action.attempt_id, outcome)
        self._tell_later(self._delay_s(), host, node, ended)

    def _finish(self, host: str, action: Finish) -> None:
        outcome = action.outcome
        self._note_wait(action.request_id)
        self.checker.finished(self.now_s, action.request_id, type(outcome).__name__)

    def _record(self, host: str, action: Record) -> None:
        if action.kind == "owner.claimed":
            holder = f"{host}/{self.nodes[host].incarnation}"
            endpoint, number = action.fields["endpoint"], action.fields["number"]
            self.checker.claimed(self.now_s, endpoint, number, holder)
