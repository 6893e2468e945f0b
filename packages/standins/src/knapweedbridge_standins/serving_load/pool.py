"""Daemons and owners under load."""

import bisect
import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from knapweedbridge_core.serving import (
    CallKind,
    Endpoint,
    EndpointRecord,
    EndpointStart,
    EngineKeeper,
    EngineLimits,
    EnginePlacement,
    EngineTeller,
    Fleet,
    LateAdmission,
    LearntRates,
    LoadOn,
    LoadTimes,
    ModelRef,
    NoEngine,
    NoPacing,
    Order,
    OrderAnswer,
    OrderKind,
    PlacementAsk,
    PromptPacer,
    PromptTurn,
    Route,
    SendTo,
    TooLate,
    WaitFor,
    WindowPacing,
    claimants,
    first_event_patience_s,
    is_small,
)
from knapweedbridge_core.serving.engine_teller import TELL_LOAD_S
from knapweedbridge_core.serving.fleet import LOAD_LIFE_S
from knapweedbridge_core.serving.messages import EngineChanged, EngineTold
from knapweedbridge_core.serving.ownership import DaemonRecord
from knapweedbridge_core.serving.placement import Choice
from knapweedbridge_core.serving.prompt_pacing import passes_at_once
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
    first_s: float = 0.0
    longest_pause_s: float = 0.0


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
        self._tickets = itertools.count()
        self._go: dict[int, Callable[[], None]] = {}
        self._giving = False
        self._pacer = pool.make_pacer()

    def ask_turn(self, tokens: int, urgency: int, go: Callable[[], None]) -> None:
        """Let a prompt go to the engine when its turn has come."""
        ticket, now_s = next(self._tickets), self._pool.clock.now_s
        self._go[ticket] = go
        self._pacer.ask(PromptTurn("", ticket, tokens, urgency, now_s))
        self._give()

    def sent(self, tokens: int) -> None:
        """Take a prompt that was sent without a turn."""
        now_s = self._pool.clock.now_s
        self._pacer.sent(tokens, now_s)
        self.keeper.long_prompts.note(tokens, now_s)
        self._show_pace()

    def saw_pause(self, pause_s: float) -> None:
        """Take the longest pause of streams on the engine."""
        self._pacer.saw_pause(pause_s, self._pool.clock.now_s)
        self._show_pace()

    def _show_pace(self) -> None:
        if isinstance(self._pacer, WindowPacing):
            self._pacer.token_s = self._pool.rates.token_s("llm")
            engines = self._pool.daemons[self.daemon].fleet.endpoints
            others = (e.pace_scale for n, e in engines.items() if n != self._name)
            self._pacer.heard(others)
            self.keeper.long_prompts.pace_scale = self._pacer.seen_scale
        self.keeper.long_prompts.pace_tokens = self._pacer.budget_tokens

    def _give(self) -> None:
        now_s = self._pool.clock.now_s
        self._show_pace()
        for turn in self._pacer.due(now_s):
            self.keeper.long_prompts.note(turn.tokens, now_s)
            self._pool.clock.after(WAY_S, self._go.pop(turn.ticket))
        next_s = self._pacer.next_s(now_s)
        if next_s is not None and not self._giving:
            self._giving = True
            self._pool.clock.after(next_s - now_s, self._give_later)

    def _give_later(self) -> None:
        self._giving = False
        self._give()

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
        self.pool = pool
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
        for record in self.pool.records():
            endpoint = self.fleet.listed(record, self.pool.clock.now_s)
            endpoint.owner = self.pool.owners[record.endpoint].daemon

    def told(self, owner: str, message: EngineTold | EngineChanged) -> None:
        """Take an owner's telling."""
        now_s = self.pool.clock.now_s
        if isinstance(message, EngineTold):
            self.load_times.told(message.cold_s)
            self.fleet.take_told(message, now_s)
        elif not self.fleet.take_changed(message, now_s):
            ask = self.pool.owners[message.endpoint].asked
            self.pool.clock.after(WAY_S, lambda: ask(self.name))
        self._look()

    def _look(self) -> None:
        if self._waiting and not self._looking:
            self._looking = True
            self.pool.clock.after(0.001, self._place_waiting)

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
        now_s = self.pool.clock.now_s
        choice = self._choose(call, now_s)
        if isinstance(choice, SendTo) and self._must_ask(call, choice, now_s):
            call.questions += 1
            ask = self.pool.owners[choice.endpoint.name].asked
            self.pool.clock.after(WAY_S, lambda: ask(self.name))
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
            self.pool.refused(call, over_s)
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
        if self.pool.small or call.questions >= QUESTIONS_MOST:
            return False
        return now_s - choice.endpoint.heard_s > LOAD_LIFE_S

    def _wait(self, call: LoadCall, pause_s: float) -> None:
        call.turn += 1
        turn = call.turn
        self._waiting[id(call)] = call
        self.pool.clock.after(pause_s, lambda: self._place_late(call, turn))

    def _choose(self, call: LoadCall, now_s: float) -> Choice:
        route = self.pool.routes[call.mix.name]
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
        self.fleet.guess_load(engines, len(self.pool.daemons), self.pool.small, now_s)
        is_new, call.placed = not call.placed, True
        return self._admission.choose(ask, engines, call.mix.objective_s, is_new, now_s)

    def _want(self, engine: str, model: ModelRef) -> None:
        owner = self.pool.owners[engine]
        self.pool.clock.after(WAY_S, lambda: owner.wanted(self.name, model))

    def _send(self, call: LoadCall, engine: str) -> None:
        endpoint, owner = self.fleet.endpoints[engine], self.pool.owners[engine]
        endpoint.own_calls += 1
        endpoint.own_unread_tokens += call.prompt_tokens
        self._calls[engine][call.model] += 1
        self._tell(engine, soon=True)
        attempt = ModelledAttempt(self, call, endpoint)
        clock = self.pool.clock
        if passes_at_once(attempt.unread, call.prompt_tokens, endpoint.pace_tokens):
            attempt.go()
            clock.after(WAY_S, lambda: owner.sent(call.prompt_tokens))
        else:
            tokens, urgency = call.prompt_tokens, call.mix.urgency
            clock.after(WAY_S, lambda: owner.ask_turn(tokens, urgency, attempt.go))

    def read(self, call: LoadCall, endpoint: Endpoint) -> None:
        """Take that an engine has read a call's prompt."""
        endpoint.own_unread_tokens -= call.prompt_tokens
        self._tell(endpoint.name)

    def left(self, call: LoadCall, endpoint: Endpoint) -> None:
        """Take that a call runs on an engine no more."""
        endpoint.own_calls -= 1
        self._calls[endpoint.name][call.model] -= 1
        self._tell(endpoint.name)

    def not_run(self, call: LoadCall, engine: str) -> None:
        """Take that an engine refused a call."""
        now_s = self.pool.clock.now_s
        self.pool.figures.not_run += 1
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
            owner = self.pool.owners[engine]
            self.pool.clock.after(WAY_S, lambda: owner.missed(call.model))
        self.place(call)

    def _tell(self, engine: str, soon: bool = False) -> None:
        if engine in self._due:
            return
        self._due.add(engine)
        pause_s = JOIN_S if soon or self.pool.small else JOIN_FAR_S
        self.pool.clock.after(pause_s, lambda: self._tell_now(engine))

    def _tell_now(self, engine: str) -> None:
        self._due.discard(engine)
        calls = dict(+self._calls[engine])
        unread = self.fleet.endpoints[engine].own_unread_tokens
        owner = self.pool.owners[engine]
        self.pool.clock.after(WAY_S, lambda: owner.running(self.name, calls, unread))


class ModelledAttempt:
    """One call on its way to an engine, and there."""

    def __init__(
        self, daemon: ModelledDaemon, call: LoadCall, endpoint: Endpoint
    ) -> None:
        self._daemon = daemon
        self._pool = daemon.pool
        self._call = call
        self._endpoint = endpoint
        self._began_s = self._sent_s = self._pool.clock.now_s
        self.unread = endpoint.unread_tokens - call.prompt_tokens
        rates = self._pool.rates
        self._slot_wait_s = rates.slot_wait_s(endpoint)
        # Its own prompt is among what is unread there.
        self._forecast_s = rates.first_event_s(endpoint, 0, self._began_s)

    def go(self) -> None:
        """Send the call."""
        self._sent_s = self._pool.clock.now_s
        self._pool.clock.after(WAY_S, self._arrive)

    def _arrive(self) -> None:
        call, engine = self._call, self._endpoint.name
        sent = EngineCall(
            call.model,
            call.prompt_tokens,
            call.output_tokens,
            self._first,
            self._end,
            self._pause,
        )
        if not self._pool.engines[engine].send(sent):
            refused = self._daemon.not_run
            self._pool.clock.after(WAY_S, lambda: refused(call, engine))

    def _first(self) -> None:
        now_s, call = self._pool.clock.now_s, self._call
        error_s = abs(now_s - self._began_s - self._forecast_s)
        self._pool.figures.forecast_errors_s.append(error_s)
        if not self._slot_wait_s:
            self._pool.rates.saw_first_event(
                self._endpoint,
                call.prompt_tokens,
                self.unread,
                now_s - self._sent_s,
                now_s,
            )
        self._daemon.read(call, self._endpoint)
        self._pool.first(call)

    def _end(self) -> None:
        took_s = self._pool.clock.now_s - self._sent_s
        self._daemon.left(self._call, self._endpoint)
        self._pool.rates.saw_end(self._endpoint, took_s)
        self._pool.ended(self._call)

    def _pause(self, pause_s: float) -> None:
        self._pool.figures.pauses_s.append(pause_s)
        if pause_s > self._call.longest_pause_s:
            self._call.longest_pause_s = pause_s
            owner = self._pool.owners[self._endpoint.name]
            self._pool.clock.after(WAY_S, lambda: owner.saw_pause(pause_s))


class ModelledPool:
    """All of one deployment."""

    def __init__(
        self,
        site: LoadSite,
        policy: EnginePlacement,
        load: float,
        seed: int,
        paced: bool = True,
    ) -> None:
        self.site = site
        self.policy = policy
        self._paced = paced
        self.rates = getattr(policy, "rates", None) or LearntRates()
        if paced:
            self.rates.accept_pauses({"llm": site.gap_s})
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

    def make_pacer(self) -> PromptPacer:
        """Make what gives the prompts for one engine their turns."""
        if not self._paced:
            return NoPacing()
        return WindowPacing(self.site.gap_s, self.rates.token_s("llm"))

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
        clump = self.site.clump
        pause_s = self._luck.expovariate(mix.per_s * self._load / clump)

        def arrive() -> None:
            if self.clock.now_s < ends_s:
                for _ in range(self._clump_size(clump)):
                    self._arrive(mix)
                self._arrive_later(mix, ends_s)

        self.clock.after(pause_s, arrive)

    def _clump_size(self, mean: float) -> int:
        size = 1
        while self._luck.random() > 1 / mean:
            size += 1
        return size

    def _arrive(self, mix: CallMix) -> None:
        prompt = self._spread(mix.prompt_tokens, mix.prompt_spread)
        prompt = min(prompt, mix.longest_prompt)
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

    def _spread(self, mean: float, sigma: float = 0.6) -> int:
        factor = self._luck.lognormvariate(-sigma * sigma / 2, sigma)
        return max(4, int(mean * factor))

    def _model(self) -> ModelRef:
        if self._luck.random() > self.site.adapter_share:
            return ModelRef("m")
        point = self._luck.random() * self._popularity[-1]
        return ModelRef("m", f"a{bisect.bisect(self._popularity, point)}")

    def first(self, call: LoadCall) -> None:
        """Take a call's first event."""
        call.first_s = self.clock.now_s - call.arrived_s
        self.figures.first_s.append(call.first_s)

    def ended(self, call: LoadCall) -> None:
        """Take a call's end: it is late by its first event or by a pause."""
        figures = self.figures
        begun_in_time = call.first_s <= call.mix.objective_s
        smooth = call.longest_pause_s <= self.site.gap_s
        in_time = begun_in_time and smooth
        figures.count(figures.in_time if in_time else figures.late, call.mix.name)
        figures.paused += begun_in_time and not smooth
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
    paced: bool = True,
) -> Figures:
    """Play a load on a pool in virtual time.

    Parameters
    ----------
    load : float
        Times the site's usual load.
    for_s : float
        How long calls arrive, in virtual seconds.
    paced : bool
        Whether owners give prompts their turns.
    """
    return ModelledPool(site, policy, load, seed, paced).run(for_s)
