"""Daemons and owners under load."""

import bisect
import itertools
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from knapweedbridge_core.serving import (
    CallKind,
    EndpointRecord,
    EndpointStart,
    EngineKeeper,
    EngineLimits,
    EnginePlacement,
    EngineTeller,
    Fleet,
    LateAdmission,
    LoadOn,
    LoadTimes,
    ModelRef,
    NoEngine,
    Order,
    OrderAnswer,
    OrderKind,
    PlacementAsk,
    Route,
    SendTo,
    TooLate,
    WaitFor,
    claimants,
    first_event_patience_s,
    is_small,
)
from knapweedbridge_core.serving.engine_teller import TELL_LOAD_S
from knapweedbridge_core.serving.fleet import LOAD_LIFE_S
from knapweedbridge_core.serving.messages import EngineChanged, EngineTold
from knapweedbridge_core.serving.ownership import DaemonRecord
from knapweedbridge_core.serving.placement import Choice
from knapweedbridge_daemon.serving.attempting import NOT_READY_S
from knapweedbridge_daemon.serving.engine_owning import REPORT_PAUSE_S
from knapweedbridge_daemon.serving.placing import (
    LOOK_S,
    OVERLOAD_AFTER_S,
    PLACE_PATIENCE,
    WANT_AGAIN_S,
)
from knapweedbridge_daemon.serving.running_calls import JOIN_FAR_S, JOIN_S
from knapweedbridge_standins.serving_load.engine import (
    EngineCall,
    ModelledEngine,
    WeightStore,
)
from knapweedbridge_standins.serving_load.figures import Figures
from knapweedbridge_standins.serving_load.sites import CallMix, LoadSite
from knapweedbridge_standins.virtual_pool import VirtualClock

WAY_S = 0.0015
"""One way between two hosts, with what they take to handle a message."""

QUESTIONS_MOST = 3
"""Owners that are asked for their load before a call is sent."""

LIST_S = 1.5
"""Age of what the platform lists of an engine, at most."""


@dataclass(slots=True)
class LoadCall:
    """One request of a caller."""

    mix: CallMix
    model: ModelRef
    prompt_tokens: int
    output_tokens: int
    arrived_s: float
    big: bool
    began_s: float = 0.0
    refused: set[str] = field(default_factory=set)
    accepted: bool = False
    placed: bool = False
    asked_s: float = float("-inf")
    turn: int = 0
    questions: int = 0
    returned: bool = False


class ModelledOwner:
    """Orders one engine, and tells of it."""

    def __init__(self, pool: "ModelledPool", name: str, daemon: str) -> None:
        self._pool = pool
        self._name = name
        self.daemon = daemon
        site = pool.site
        limits = EngineLimits(site.slots, 10**6, site.places, 1e5, 10.0)
        self.keeper = EngineKeeper(limits, times=pool.daemons[daemon].load_times)
        self.keeper.reported(pool.engines[name].report(), pool.clock.now_s)
        self._teller = EngineTeller(EndpointStart(name, 0), 1, self.keeper)
        self._ordering = False
        self._woken = False
        self._reported_s = float("-inf")

    def wanted(self, daemon: str, model: ModelRef) -> None:
        """Take a daemon's wish."""
        self._teller.wanted_by(daemon, model, self._pool.clock.now_s)
        self.keeper.want(model, 0, self._pool.clock.now_s)
        self.work()

    def running(self, daemon: str, calls: dict[ModelRef, int], unread: int) -> None:
        """Take a daemon's calls."""
        now_s = self._pool.clock.now_s
        self._teller.used_by(daemon, now_s)
        self.keeper.calls_running(daemon, calls, unread, now_s)
        self._teller.calls_changed()
        self.work()

    def missed(self, model: ModelRef) -> None:
        """Take that the engine refused a call."""
        self.keeper.missed(model, self._pool.clock.now_s)
        self._teller.held_changed()
        self.work()

    def asked(self, daemon: str) -> None:
        """Take that a daemon missed a telling."""
        self._teller.asked_for_all(daemon)
        for telling in self._teller.tell_asked(self._pool.clock.now_s):
            self._pool.tell(telling.daemon, self.daemon, telling.message)

    def work(self) -> None:
        """Order and tell what is due."""
        now_s = self._pool.clock.now_s
        if self.keeper.needs_report and now_s - self._reported_s >= REPORT_PAUSE_S:
            self._reported_s = now_s
            self.keeper.reported(self._pool.engines[self._name].report(), now_s)
            self._teller.held_changed()
        if not self._ordering:
            order = self.keeper.next_order(now_s)
            if order is not None:
                self._ordering = True
                self._pool.clock.after(WAY_S, lambda: self._order(order))
        for telling in self._teller.tell(self._pool.daemons, self._pool.small, now_s):
            self._pool.tell(telling.daemon, self.daemon, telling.message)
        self._wake_later()

    def _order(self, order: Order) -> None:
        answer = self._pool.engines[self._name].order(order)
        self._pool.clock.after(WAY_S, lambda: self._answered(order, answer))

    def _answered(self, order: Order, answer: OrderAnswer) -> None:
        now_s = self._pool.clock.now_s
        fleet = self._pool.daemons[self.daemon].fleet
        self.keeper.engines = len(self._pool.engines)
        self.keeper.coming_elsewhere = sum(
            each.coming(now_s) for each in fleet.engines() if each.name != self._name
        )
        self.keeper.answered(order, answer, now_s)
        self._teller.held_changed()
        if order.kind is OrderKind.LOAD:
            self._teller.load_ordered(order.model)
        self._ordering = False
        self.work()

    def _wake_later(self) -> None:
        busy = self.keeper.wants or self._teller.has_news or self.keeper.needs_report
        if busy and not self._woken:
            self._woken = True
            self._pool.clock.after(TELL_LOAD_S, self._wake)

    def _wake(self) -> None:
        self._woken = False
        self.work()


class ModelledDaemon:
    """Places calls by what it believes."""

    def __init__(self, pool: "ModelledPool", name: str, data_centre: str) -> None:
        self._pool = pool
        self.name = name
        self.data_centre = data_centre
        self.fleet = Fleet()
        self._admission = LateAdmission(pool.policy)
        self.load_times = LoadTimes()
        self._waiting: dict[int, LoadCall] = {}
        self._calls: dict[str, Counter[ModelRef]] = defaultdict(Counter)
        self._due: set[str] = set()
        self._looking = False

    def list_engines(self) -> None:
        """Take the platform's list."""
        for record in self._pool.records():
            endpoint = self.fleet.listed(record, self._pool.clock.now_s)
            endpoint.owner = self._pool.owners[record.endpoint].daemon

    def told(self, owner: str, message: EngineTold | EngineChanged) -> None:
        """Take an owner's telling."""
        now_s = self._pool.clock.now_s
        if isinstance(message, EngineTold):
            self.load_times.told(message.cold_s)
            self.fleet.take_told(message, now_s)
        elif not self.fleet.take_changed(message, now_s):
            ask = self._pool.owners[message.endpoint].asked
            self._pool.clock.after(WAY_S, lambda: ask(self.name))
        self._look()

    def _look(self) -> None:
        if self._waiting and not self._looking:
            self._looking = True
            self._pool.clock.after(0.001, self._place_waiting)

    def _place_waiting(self) -> None:
        self._looking = False
        waiting, self._waiting = self._waiting, {}
        for call in waiting.values():
            self.place(call)

    def _place_late(self, call: LoadCall, turn: int) -> None:
        if call.turn == turn and id(call) in self._waiting:
            del self._waiting[id(call)]
            self.place(call)

    def place(self, call: LoadCall) -> None:
        """Send, hold or refuse a call."""
        now_s = self._pool.clock.now_s
        choice = self._choose(call, now_s)
        if isinstance(choice, SendTo) and self._must_ask(call, choice, now_s):
            call.questions += 1
            ask = self._pool.owners[choice.endpoint.name].asked
            self._pool.clock.after(WAY_S, lambda: ask(self.name))
            self._wait(call, 0.02)
            return
        if isinstance(choice, SendTo):
            if choice.copy_to is not None:
                self._want(choice.copy_to.name, call.model)
            self._send(call, choice.endpoint.name)
            return
        waited_s = now_s - call.began_s
        if isinstance(choice, TooLate) or waited_s > max(
            0.5, PLACE_PATIENCE * call.mix.objective_s
        ):
            over_s = choice.over_s if isinstance(choice, TooLate) else 0.0
            self._pool.refused(call, over_s)
            return
        call.accepted = not isinstance(choice, NoEngine)
        if isinstance(choice, LoadOn) and now_s - call.asked_s > WANT_AGAIN_S:
            call.asked_s = now_s
            choice.endpoint.note_asked(now_s)
            self._want(choice.endpoint.name, call.model)
        pause_s = LOOK_S
        if isinstance(choice, WaitFor):
            pause_s = min(pause_s, max(0.001, choice.ready_s - now_s))
        self._wait(call, pause_s)

    def _must_ask(self, call: LoadCall, choice: SendTo, now_s: float) -> bool:
        if self._pool.small or call.questions >= QUESTIONS_MOST:
            return False
        return now_s - choice.endpoint.heard_s > LOAD_LIFE_S

    def _wait(self, call: LoadCall, pause_s: float) -> None:
        call.turn += 1
        turn = call.turn
        self._waiting[id(call)] = call
        self._pool.clock.after(pause_s, lambda: self._place_late(call, turn))

    def _choose(self, call: LoadCall, now_s: float) -> Choice:
        route = self._pool.routes[call.mix.name]
        waited_s = now_s - call.began_s
        ask = PlacementAsk(
            call.model,
            None,
            True,
            self.data_centre,
            frozenset(call.refused),
            call.prompt_tokens,
            first_event_patience_s(route, waited_s, call.accepted),
        )
        engines = self.fleet.reachable("llm", now_s)
        self.fleet.guess_load(engines, len(self._pool.daemons), self._pool.small, now_s)
        is_new, call.placed = not call.placed, True
        return self._admission.choose(ask, engines, call.mix.objective_s, is_new, now_s)

    def _want(self, engine: str, model: ModelRef) -> None:
        owner = self._pool.owners[engine]
        self._pool.clock.after(WAY_S, lambda: owner.wanted(self.name, model))

    def _send(self, call: LoadCall, engine: str) -> None:
        endpoint = self.fleet.endpoints[engine]
        endpoint.own_calls += 1
        endpoint.own_unread_tokens += call.prompt_tokens
        self._calls[engine][call.model] += 1
        self._tell(engine, soon=True)
        read = [False]

        def on_first() -> None:
            read[0] = True
            endpoint.own_unread_tokens -= call.prompt_tokens
            self._tell(engine)
            self._pool.first(call)

        def on_end() -> None:
            endpoint.own_calls -= 1
            self._calls[engine][call.model] -= 1
            self._tell(engine)

        def arrive() -> None:
            sent = EngineCall(
                call.model,
                call.prompt_tokens,
                call.output_tokens,
                on_first,
                on_end,
                self._pool.figures.pauses_s.append,
            )
            if not self._pool.engines[engine].send(sent):
                self._pool.clock.after(WAY_S, lambda: self._not_run(call, engine))

        self._pool.clock.after(WAY_S, arrive)

    def _not_run(self, call: LoadCall, engine: str) -> None:
        now_s = self._pool.clock.now_s
        self._pool.figures.not_run += 1
        endpoint = self.fleet.endpoints[engine]
        endpoint.own_calls -= 1
        endpoint.own_unread_tokens -= call.prompt_tokens
        self._calls[engine][call.model] -= 1
        self._tell(engine)
        if call.model not in endpoint.held:
            call.refused.add(engine)
        elif not endpoint.is_heard(now_s):
            del endpoint.held[call.model]
        else:
            endpoint.held[call.model].ready_s = now_s + NOT_READY_S
            owner = self._pool.owners[engine]
            self._pool.clock.after(WAY_S, lambda: owner.missed(call.model))
        self.place(call)

    def _tell(self, engine: str, soon: bool = False) -> None:
        if engine in self._due:
            return
        self._due.add(engine)
        pause_s = JOIN_S if soon or self._pool.small else JOIN_FAR_S
        self._pool.clock.after(pause_s, lambda: self._tell_now(engine))

    def _tell_now(self, engine: str) -> None:
        self._due.discard(engine)
        calls = dict(+self._calls[engine])
        unread = self.fleet.endpoints[engine].own_unread_tokens
        owner = self._pool.owners[engine]
        self._pool.clock.after(WAY_S, lambda: owner.running(self.name, calls, unread))


class ModelledPool:
    """All of one deployment."""

    def __init__(
        self, site: LoadSite, policy: EnginePlacement, load: float, seed: int
    ) -> None:
        self.site = site
        self.policy = policy
        self.clock = VirtualClock()
        self.figures = Figures()
        self._load = load
        self._luck = random.Random(seed)
        self._centres = [f"d{n}" for n in range(site.data_centres)]
        self.store = WeightStore(site)
        self.engines = {
            f"e{n}": ModelledEngine(self.clock, site, self.store)
            for n in range(site.engines)
        }
        self.daemons = {
            f"h{n}": ModelledDaemon(self, f"h{n}", self._centre(n))
            for n in range(site.daemons)
        }
        listed = [
            DaemonRecord(each.name, 1, "", each.data_centre)
            for each in self.daemons.values()
        ]
        self.small = is_small(listed)
        self.owners = {
            name: ModelledOwner(self, name, claimants(name, self._centre(n), listed)[0])
            for n, name in enumerate(self.engines)
        }
        self.routes = {
            mix.name: Route(
                mix.name,
                "",
                "/",
                CallKind.STREAM,
                (),
                mix.deadline_s,
                mix.objective_s,
                urgency=mix.urgency,
            )
            for mix in site.mixes
        }
        ranks = range(1, site.adapters + 1)
        self._popularity = list(itertools.accumulate(r**-site.skew for r in ranks))

    def _centre(self, number: int) -> str:
        return self._centres[number % len(self._centres)]

    def records(self) -> list[EndpointRecord]:
        """Return what the platform lists of the engines."""
        now_s = self.clock.now_s
        return [
            EndpointRecord(
                name,
                "llm",
                "",
                self._centre(n),
                self.site.slots,
                False,
                ("m",),
                {m: 1 for m, ready_s in engine.held.items() if ready_s <= now_s},
            )
            for n, (name, engine) in enumerate(self.engines.items())
        ]

    def tell(
        self, daemon: str, owner: str, message: EngineTold | EngineChanged
    ) -> None:
        """Bring an owner's telling to a daemon."""
        told = self.daemons[daemon].told
        self.clock.after(WAY_S, lambda: told(owner, message))

    def run(self, for_s: float) -> Figures:
        """Play the load, and return what callers got."""
        self._list()
        for owner in self.owners.values():
            owner.work()
        for mix in self.site.mixes:
            self._arrive_later(mix, self.clock.now_s + for_s)
        self.clock.run(for_s + 10.0)
        self.figures.fetched = self.store.fetched
        return self.figures

    def _list(self) -> None:
        for daemon in self.daemons.values():
            daemon.list_engines()
        self.clock.after(LIST_S, self._list)

    def _arrive_later(self, mix: CallMix, ends_s: float) -> None:
        pause_s = self._luck.expovariate(mix.per_s * self._load)

        def arrive() -> None:
            if self.clock.now_s < ends_s:
                self._arrive(mix)
                self._arrive_later(mix, ends_s)

        self.clock.after(pause_s, arrive)

    def _arrive(self, mix: CallMix) -> None:
        prompt = self._spread(mix.prompt_tokens)
        call = LoadCall(
            mix,
            self._model(),
            prompt,
            self._spread(mix.output_tokens),
            self.clock.now_s,
            prompt > 2 * mix.prompt_tokens,
            self.clock.now_s,
        )
        self._any_daemon().place(call)

    def _any_daemon(self) -> ModelledDaemon:
        return self.daemons[f"h{self._luck.randrange(self.site.daemons)}"]

    def _spread(self, mean: float) -> int:
        return max(4, int(mean * self._luck.lognormvariate(-0.18, 0.6)))

    def _model(self) -> ModelRef:
        if self._luck.random() > self.site.adapter_share:
            return ModelRef("m")
        point = self._luck.random() * self._popularity[-1]
        return ModelRef("m", f"a{bisect.bisect(self._popularity, point)}")

    def first(self, call: LoadCall) -> None:
        """Take a call's first event."""
        took_s = self.clock.now_s - call.arrived_s
        self.figures.first_s.append(took_s)
        in_time = took_s <= call.mix.objective_s
        figures = self.figures
        figures.count(figures.in_time if in_time else figures.late, call.mix.name)
        figures.big += call.big
        figures.big_in_time += call.big and in_time

    def refused(self, call: LoadCall, over_s: float) -> None:
        """Take that a call was refused; its caller comes back once."""
        self.figures.refusals += 1
        back_s = self._luck.uniform(*OVERLOAD_AFTER_S) + over_s
        if call.returned:
            self.figures.count(self.figures.refused, call.mix.name)
            self.figures.big += call.big
            return
        call.returned = True
        call.refused.clear()
        call.accepted = False
        call.questions = 0

        def come_back() -> None:
            call.began_s = self.clock.now_s
            self._any_daemon().place(call)

        self.clock.after(back_s, come_back)


def play(
    site: LoadSite,
    policy: EnginePlacement,
    load: float = 1.0,
    for_s: float = 20.0,
    seed: int = 1,
) -> Figures:
    """Play a load on a pool in virtual time.

    Parameters
    ----------
    load : float
        Times the site's usual load.
    for_s : float
        How long calls arrive, in virtual seconds.
    """
    return ModelledPool(site, policy, load, seed).run(for_s)
