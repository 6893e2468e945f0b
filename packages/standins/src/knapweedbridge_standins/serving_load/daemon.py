"""A modelled daemon: places calls by what it believes."""

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from knapweedbridge_core.serving import (
    Endpoint,
    Fleet,
    LateAdmission,
    LoadOn,
    LoadTimes,
    ModelRef,
    NoEngine,
    PlacementRequest,
    SendTo,
    TooLate,
    WaitFor,
    max_first_event_wait_s,
)
from knapweedbridge_core.serving.messages import EngineDelta, EngineSnapshot
from knapweedbridge_core.serving.placement_choices import Choice
from knapweedbridge_core.serving.prompt_pacing import passes_at_once
from knapweedbridge_daemon.serving.attempting import LOAD_RETRY_S
from knapweedbridge_daemon.serving.engine_observations import EngineObservations
from knapweedbridge_daemon.serving.placing import (
    LOAD_REQUEST_RETRY_S,
    LOAD_STALE_AFTER_S,
    MAX_WAIT_OBJECTIVES,
    POLL_INTERVAL_S,
)
from knapweedbridge_daemon.serving.running_calls import (
    BATCH_WINDOW_S,
    LARGE_POOL_BATCH_WINDOW_S,
)
from knapweedbridge_standins.serving_load.attempt import ModelledAttempt
from knapweedbridge_standins.serving_load.call import WAY_S, LoadCall

if TYPE_CHECKING:
    from knapweedbridge_standins.serving_load.pool import ModelledPool

QUESTIONS_MOST = 3
"""Owners that are asked for their load before a call is sent."""


class ModelledDaemon:
    """Places calls by what it believes."""

    def __init__(self, pool: "ModelledPool", name: str, data_centre: str) -> None:
        self.pool = pool
        self.name = name
        self.data_centre = data_centre
        self.fleet = Fleet()
        self.fleet.speeds.enabled = pool.learn_speeds
        policy, self.rates = pool.make_policy()
        self._admission = LateAdmission(policy)
        self.load_times = LoadTimes()
        self._waiting: dict[int, LoadCall] = {}
        self._calls: dict[str, Counter[ModelRef]] = defaultdict(Counter)
        self._due: set[str] = set()
        self.observed = EngineObservations()
        self._looking = False

    def list_engines(self) -> None:
        """Take the platform's list."""
        for record in self.pool.records():
            endpoint = self.fleet.listed(record, self.pool.clock.now_s)
            endpoint.owner = self.pool.owners[record.endpoint].daemon

    def told(self, owner: str, message: EngineSnapshot | EngineDelta) -> None:
        """Take an owner's telling."""
        self._take(message)
        self._look()

    def relayed(self, rows: list[EngineSnapshot | EngineDelta]) -> None:
        """Take what a relay hands on."""
        for row in rows:
            self._take(row)
        self._look()

    def _take(self, message: EngineSnapshot | EngineDelta) -> None:
        now_s = self.pool.clock.now_s
        if isinstance(message, EngineSnapshot):
            self.load_times.told(message.cold_s)
            self.fleet.apply_snapshot(message, now_s)
        elif not self.fleet.apply_update(message, now_s):
            if not self.fleet.has_gap_before(message):
                return
            ask = self.pool.owners[message.endpoint].asked
            self.pool.clock.after(WAY_S, lambda: ask(self.name))

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
            0.5, MAX_WAIT_OBJECTIVES * call.mix.objective_s
        ):
            over_s = choice.over_s if isinstance(choice, TooLate) else 0.0
            self.pool.refused(call, over_s)
            return
        call.accepted = not isinstance(choice, NoEngine)
        if isinstance(choice, LoadOn) and now_s - call.asked_s > LOAD_REQUEST_RETRY_S:
            call.asked_s = now_s
            choice.endpoint.record_owner_request(now_s)
            self._want(choice.endpoint.name, call.model)
        pause_s = POLL_INTERVAL_S
        if isinstance(choice, WaitFor):
            pause_s = min(pause_s, max(0.001, choice.ready_s - now_s))
        self._wait(call, pause_s)

    def _must_ask(self, call: LoadCall, choice: SendTo, now_s: float) -> bool:
        if self.pool.small or call.questions >= QUESTIONS_MOST:
            return False
        return now_s - choice.endpoint.heard_s > LOAD_STALE_AFTER_S

    def _wait(self, call: LoadCall, pause_s: float) -> None:
        call.turn += 1
        turn = call.turn
        self._waiting[id(call)] = call
        self.pool.clock.after(pause_s, lambda: self._place_late(call, turn))

    def _choose(self, call: LoadCall, now_s: float) -> Choice:
        route = self.pool.routes[call.mix.name]
        waited_s = now_s - call.began_s
        ask = PlacementRequest(
            call.model,
            None,
            self.data_centre,
            frozenset(call.refused),
            call.prompt_tokens,
            max_first_event_wait_s(route, waited_s, call.accepted),
        )
        engines = self.fleet.reachable("llm", now_s)
        self.fleet.estimate_load(
            engines, len(self.pool.daemons), self.pool.small, now_s
        )
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
        attempt = self._make_attempt(call, endpoint)
        clock = self.pool.clock
        if passes_at_once(attempt.unread, call.prompt_tokens, endpoint.pace_tokens):
            attempt.go()
            clock.after(WAY_S, lambda: owner.sent(call.prompt_tokens))
        else:
            tokens, urgency = call.prompt_tokens, self._urgency(call)
            clock.after(WAY_S, lambda: owner.ask_turn(tokens, urgency, attempt.go))

    def _make_attempt(self, call: LoadCall, endpoint: Endpoint) -> ModelledAttempt:
        return ModelledAttempt(self, call, endpoint)

    def _urgency(self, call: LoadCall) -> int:
        return call.mix.urgency

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
        elif not endpoint.has_recent_update(now_s):
            del endpoint.held[call.model]
        else:
            endpoint.held[call.model].ready_s = now_s + LOAD_RETRY_S
            owner = self.pool.owners[engine]
            self.pool.clock.after(WAY_S, lambda: owner.missed(call.model))
        self.place(call)

    def _tell(self, engine: str, soon: bool = False) -> None:
        if engine in self._due:
            return
        self._due.add(engine)
        pause_s = (
            BATCH_WINDOW_S if soon or self.pool.small else LARGE_POOL_BATCH_WINDOW_S
        )
        self.pool.clock.after(pause_s, lambda: self._tell_now(engine))

    def _tell_now(self, engine: str) -> None:
        self._due.discard(engine)
        calls = dict(+self._calls[engine])
        endpoint = self.fleet.endpoints[engine]
        endpoint.record_reported_load(self.pool.clock.now_s)
        unread = endpoint.own_unread_tokens
        owner = self.pool.owners[engine]
        seen = self.observed.take(endpoint.start)

        def arrive() -> None:
            owner.running(self.name, calls, unread)
            owner.observed(self.name, *seen)

        self.pool.clock.after(WAY_S, arrive)
