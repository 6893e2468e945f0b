"""The owner of one modelled engine: orders it, and tells of it."""

import itertools
from collections.abc import Callable
from typing import TYPE_CHECKING

from knapweedbridge_core.serving import (
    EndpointStart,
    EngineController,
    EngineLimits,
    EngineUpdates,
    ModelRef,
    Order,
    OrderAnswer,
    OrderKind,
    PromptTurn,
    SpeedReports,
    WindowPacing,
)
from knapweedbridge_core.serving.engine_updates import (
    IDLE_UPDATE_INTERVAL_S,
    LOAD_UPDATE_INTERVAL_S,
)
from knapweedbridge_daemon.serving.engine_owner import REPORT_INTERVAL_S
from knapweedbridge_standins.serving_load.call import WAY_S

if TYPE_CHECKING:
    from knapweedbridge_standins.serving_load.pool import ModelledPool


class ModelledOwner:
    """Orders one engine, and tells of it."""

    def __init__(self, pool: "ModelledPool", name: str, daemon: str) -> None:
        self._pool = pool
        self._name = name
        self.daemon = daemon
        site = pool.site
        limits = EngineLimits(site.slots, 10**6, site.places, 1e5, 10.0)
        self.keeper = EngineController(limits, times=pool.daemons[daemon].load_times)
        self.keeper.apply_report(pool.engines[name].report(), pool.clock.now_s)
        self._updates = EngineUpdates(EndpointStart(name, 0), 1, self.keeper)
        self._ordering = False
        self._woken = False
        self._reported_s = float("-inf")
        self._tickets = itertools.count()
        self._go: dict[int, Callable[[], None]] = {}
        self._giving = False
        self._rates = pool.daemons[daemon].rates
        self._pacer = pool.make_pacer(self._rates)
        self._reports = SpeedReports(self._rates, "llm", self.keeper.speed)

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

    def record_pause(self, pause_s: float) -> None:
        """Take the longest pause of streams on the engine."""
        self._pacer.record_pause(pause_s, self._pool.clock.now_s)
        self._show_pace()

    def _show_pace(self) -> None:
        if isinstance(self._pacer, WindowPacing):
            engines = self._pool.daemons[self.daemon].fleet.endpoints
            token_s = self._rates.engine_token_s(engines[self._name])
            times = self.keeper.speed.slow_period_ratio(self._pool.clock.now_s)
            self._pacer.token_s = token_s * times
            others = (e.pace_scale for n, e in engines.items() if n != self._name)
            self._pacer.adopt_scales(others)
            self.keeper.long_prompts.pace_scale = self._pacer.measured_scale
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
        self._updates.add_waiter(daemon, model)
        if self.keeper.holds(model, 0) and not self._pool.small:
            self._updates.request_snapshot(daemon)
        self.keeper.request_adapter(model, 0, self._pool.clock.now_s)
        self.work()

    def running(self, daemon: str, calls: dict[ModelRef, int], unread: int) -> None:
        """Take a daemon's calls."""
        now_s = self._pool.clock.now_s
        self.keeper.record_calls(daemon, calls, unread, now_s)
        self._updates.mark_calls_changed()
        self.work()

    def observed(
        self, daemon: str, first_events: list[list[float]], gaps: list[float]
    ) -> None:
        """Take what a daemon observed of the engine's responses."""
        if self._pool.learn_speeds:
            now_s = self._pool.clock.now_s
            self._reports.take(daemon, first_events, gaps, now_s)

    def missed(self, model: ModelRef) -> None:
        """Take that the engine refused a call."""
        self.keeper.missed(model, self._pool.clock.now_s)
        self._updates.mark_adapters_changed()
        self.work()

    def asked(self, daemon: str) -> None:
        """Take that a daemon missed a telling."""
        self._updates.request_snapshot(daemon)
        for telling in self._updates.take_requested(self._pool.clock.now_s):
            self._pool.tell(telling.daemon, self.daemon, telling.message)

    def work(self) -> None:
        """Order and tell what is due."""
        now_s = self._pool.clock.now_s
        if self.keeper.needs_report and now_s - self._reported_s >= REPORT_INTERVAL_S:
            self._reported_s = now_s
            self.keeper.apply_report(self._pool.engines[self._name].report(), now_s)
            self._updates.mark_adapters_changed()
        if not self._ordering:
            order = self.keeper.next_order(now_s)
            if order is not None:
                self._ordering = True
                self._pool.clock.after(WAY_S, lambda: self._order(order))
        for telling in self._updates.tell(
            self._pool.subscribers, self._pool.small, now_s
        ):
            self._pool.tell(telling.daemon, self.daemon, telling.message)
        self._wake_later()

    def _order(self, order: Order) -> None:
        answer = self._pool.engines[self._name].order(order)
        self._pool.clock.after(WAY_S, lambda: self._answered(order, answer))

    def _answered(self, order: Order, answer: OrderAnswer) -> None:
        now_s = self._pool.clock.now_s
        fleet = self._pool.daemons[self.daemon].fleet
        self.keeper.engines = len(self._pool.engines)
        self.keeper.loading_elsewhere = sum(
            each.coming(now_s) for each in fleet.engines() if each.name != self._name
        )
        self.keeper.answered(order, answer, now_s)
        self._updates.mark_adapters_changed()
        if order.kind is OrderKind.LOAD:
            self._updates.record_load_ordered(order.model)
        self._ordering = False
        self.work()

    def _wake_later(self) -> None:
        if self._woken:
            return
        busy = (
            self.keeper.wants or self._updates.has_changes or self.keeper.needs_report
        )
        if busy or not self._pool.small:
            self._woken = True
            self._pool.clock.after(
                LOAD_UPDATE_INTERVAL_S if busy else IDLE_UPDATE_INTERVAL_S, self._wake
            )

    def _wake(self) -> None:
        self._woken = False
        self.work()
