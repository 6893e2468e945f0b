"""A pool under an overload in virtual time: ranks at engines, retries, lost engines."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from knapweedbridge_core.serving import (
    Endpoint,
    EnginePlacement,
    LoadOn,
    NoEngine,
    OverloadPolicy,
    PendingRequest,
    PlacementRequest,
    Reject,
    SendTo,
    UsualDeadlines,
    Wait,
    WaitFor,
)
from knapweedbridge_core.serving.placement_choices import Choice
from knapweedbridge_daemon.serving.placing import (
    LOAD_REQUEST_RETRY_S,
    MAX_WAIT_OBJECTIVES,
    POLL_INTERVAL_S,
)
from knapweedbridge_standins.serving_load.attempt import ModelledAttempt
from knapweedbridge_standins.serving_load.call import WAY_S
from knapweedbridge_standins.serving_load.daemon import ModelledDaemon
from knapweedbridge_standins.serving_load.engine import EngineCall, ModelledEngine
from knapweedbridge_standins.serving_load.overload_callers import (
    OverloadCall,
    OverloadFigures,
    OverloadStory,
    comes_back_s,
    leaves_after_s,
)
from knapweedbridge_standins.serving_load.pool import ModelledPool
from knapweedbridge_standins.serving_load.sites import CallMix, LoadSite

LOST_S = 0.1
"""Time until all daemons know that an engine is lost."""


@dataclass(slots=True)
class RankedCall(EngineCall):
    """A call on an engine that admits by rank."""

    rank: int = 0
    on_lost: Callable[[], None] = field(kw_only=True)


class RankedEngine(ModelledEngine):
    """Takes the calls of the first rank into its batch before others."""

    lost = False

    def send(self, call: EngineCall) -> bool:
        """See `ModelledEngine.send`."""
        if self.lost or not super().send(call):
            return False
        ranked = sorted(self._queue, key=lambda each: getattr(each, "rank", 0))
        self._queue.clear()
        self._queue.extend(ranked)
        return True

    def cancel(self, call: EngineCall) -> None:
        """End a call whose caller left."""
        if call in self._queue:
            self._queue.remove(call)
        elif call in self._running:
            self._running.remove(call)

    def crash(self) -> None:
        """Lose all calls, and take none any more."""
        self.lost = True
        calls = [*self._running, *self._queue]
        self._running.clear()
        self._queue.clear()
        for call in calls:
            assert isinstance(call, RankedCall)
            call.on_lost()


class OverloadAttempt(ModelledAttempt):
    """An attempt that ends early where its caller leaves or its engine is lost."""

    _call: OverloadCall
    _daemon: "OverloadDaemon"

    def go(self) -> None:
        """See `ModelledAttempt.go`."""
        if self._call.ended:
            self._give_up()
        else:
            super().go()

    def _arrive(self) -> None:
        if self._call.ended:
            self._give_up()
        else:
            super()._arrive()

    def _make_call(self) -> EngineCall:
        call = self._call
        rank = call.mix.urgency if call.rank is None else call.rank
        made = RankedCall(
            call.model,
            call.prompt_tokens,
            call.output_tokens,
            self._first,
            self._end,
            self._pause,
            rank=rank,
            on_lost=self._lost,
        )
        clock = self._pool.clock
        clock.after(call.leaves_s - clock.now_s, lambda: self._left(made))
        return made

    def _first(self) -> None:
        self._call.begun = True
        super()._first()

    def _left(self, made: EngineCall) -> None:
        engine = self._pool.engines[self._endpoint.name]
        assert isinstance(engine, RankedEngine)
        if not self._call.begun and not engine.lost:
            engine.cancel(made)
            self._give_up()

    def _give_up(self) -> None:
        self._daemon.read(self._call, self._endpoint)
        self._daemon.left(self._call, self._endpoint)

    def _lost(self) -> None:
        self._pool.clock.after(WAY_S, self._place_again)

    def _place_again(self) -> None:
        call = self._call
        if not call.begun:
            self._daemon.read(call, self._endpoint)
        self._daemon.left(call, self._endpoint)
        self._endpoint.suspect_until_s = float("inf")
        if call.begun:
            self._daemon.pool.cut(call)
        else:
            self._daemon.place(call)


class OverloadDaemon(ModelledDaemon):
    """Places calls by an overload policy, as `placing.Placing` does."""

    pool: "OverloadPool"

    def __init__(self, pool: "OverloadPool", name: str, data_centre: str) -> None:
        super().__init__(pool, name, data_centre)
        self.policy = pool.make_overload_policy()
        self._deadlines = UsualDeadlines()

    def receive(self, call: OverloadCall) -> None:
        """Take a caller's attempt."""
        now_s = self.pool.clock.now_s
        left_s = call.deadline_s - now_s
        call.began_s, call.at_daemon = now_s, self.name
        call.spent_s = self._deadlines.spent_s(call.mix.name, left_s, now_s)
        self.place(call)

    def _case(self, call: OverloadCall) -> PendingRequest:
        return PendingRequest(
            id(call),
            self.pool.routes[call.mix.name],
            call.began_s,
            call.deadline_s,
            call.spent_s,
            self.pool.site.gap_s,
            str(id(call)),
            model=call.model,
        )

    def place(self, call: OverloadCall) -> None:  # type: ignore[override]
        """See `ModelledDaemon.place`."""
        now_s = self.pool.clock.now_s
        if call.ended:
            return
        case = self._case(call)
        choice = self._choose(call, now_s)
        verdict = self.policy.decide(case, choice, now_s)
        if isinstance(verdict, Reject):
            self._refuse(call, verdict.retry_after_s)
            return
        if isinstance(verdict, Wait):
            call.questions = 0
            self._wait(call, max(0.001, verdict.until_s - now_s))
            return
        call.rank = verdict.rank
        self._follow(call, verdict.choice, now_s)

    def _follow(self, call: OverloadCall, choice: Choice, now_s: float) -> None:
        if isinstance(choice, SendTo):
            if self._must_ask(call, choice, now_s):
                call.questions += 1
                ask = self.pool.owners[choice.endpoint.name].asked
                self.pool.clock.after(WAY_S, lambda: ask(self.name))
                self._wait(call, 0.02)
                return
            if choice.copy_to is not None:
                self._want(choice.copy_to.name, call.model)
            self._note_sent(call, now_s)
            self._send(call, choice.endpoint.name)
            return
        patience_s = max(0.5, MAX_WAIT_OBJECTIVES * call.mix.objective_s)
        if call.rank is None and now_s - call.began_s > patience_s:
            self._refuse(call, 0.4)
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

    def _note_sent(self, call: OverloadCall, now_s: float) -> None:
        self.policy.left(self._case(call), now_s, sent=True)
        figures = self.pool.figures
        waited_s = now_s - call.began_s
        figures.longest_wait_s = max(figures.longest_wait_s, waited_s)
        figures.sent_last += call.rank is not None

    def _refuse(self, call: OverloadCall, retry_after_s: float) -> None:
        self.policy.left(self._case(call), self.pool.clock.now_s, sent=False)
        self.pool.refused(call, retry_after_s)

    def caller_left(self, call: OverloadCall) -> None:
        """Take that a caller left; what it had waited for goes to the next one."""
        self._waiting.pop(id(call), None)
        self.policy.left(self._case(call), self.pool.clock.now_s, sent=False)

    def _choose(self, call: OverloadCall, now_s: float) -> Choice:  # type: ignore[override]
        case = self._case(call)
        overdue = self.policy.is_overdue(case, now_s)
        ask = PlacementRequest(
            call.model,
            None,
            self.data_centre,
            frozenset(call.refused),
            call.prompt_tokens,
            self.policy.patience_s(case, call.accepted, now_s),
        )
        engines = self.fleet.reachable("llm", now_s)
        self.fleet.estimate_load(
            engines, len(self.pool.daemons), self.pool.small, now_s
        )
        engines = self.policy.eligible_engines(case, engines, now_s)
        is_new, call.placed = not call.placed and not overdue, True
        return self._admission.choose(ask, engines, call.mix.objective_s, is_new, now_s)

    def _make_attempt(self, call: OverloadCall, endpoint: Endpoint) -> ModelledAttempt:  # type: ignore[override]
        return OverloadAttempt(self, call, endpoint)

    def _urgency(self, call: OverloadCall) -> int:  # type: ignore[override]
        return call.mix.urgency if call.rank is None else call.rank

    def not_run(self, call: OverloadCall, engine: str) -> None:  # type: ignore[override]
        """See `ModelledDaemon.not_run`."""
        lost = self.pool.engines[engine]
        if isinstance(lost, RankedEngine) and lost.lost:
            self.fleet.endpoints[engine].suspect_until_s = float("inf")
        super().not_run(call, engine)


class OverloadPool(ModelledPool):
    """All of one deployment, with callers that retry and leave."""

    figures: OverloadFigures
    engine_class = RankedEngine

    def __init__(
        self,
        site: LoadSite,
        policy: EnginePlacement,
        make_policy: Callable[[random.Random], OverloadPolicy],
        story: OverloadStory,
        seed: int,
    ) -> None:
        self._story = story
        self._make_policy = make_policy
        self._policy_luck = random.Random(f"policy {seed}")
        self._return_luck = random.Random(f"return {seed}")
        super().__init__(site, policy, story.load, seed)
        self.figures = OverloadFigures()
        self._began_s = self.clock.now_s
        crash_s = story.calm_s + story.peak_s / 2
        self.clock.after(crash_s, self._crash)

    def make_overload_policy(self) -> OverloadPolicy:
        """Make the policy of one daemon."""
        return self._make_policy(self._policy_luck)

    def _make_daemon(self, name: str, data_centre: str) -> ModelledDaemon:
        return OverloadDaemon(self, name, data_centre)

    def _crash(self) -> None:
        lost = list(self.engines)[: int(self._story.crash_share * len(self.engines))]
        for name in lost:
            engine = self.engines[name]
            assert isinstance(engine, RankedEngine)
            engine.crash()
        self.clock.after(LOST_S, lambda: self._told_lost(lost))

    def _told_lost(self, lost: list[str]) -> None:
        for daemon in self.daemons.values():
            for name in lost:
                daemon.fleet.endpoints[name].suspect_until_s = float("inf")

    def _arrive_later(self, mix: CallMix, ends_s: float) -> None:
        load = self._story.load_at(self.clock.now_s - self._began_s)
        pause_s = self._luck.expovariate(mix.per_s * load)

        def arrive() -> None:
            if self.clock.now_s < ends_s:
                self._arrive(mix)
                self._arrive_later(mix, ends_s)

        self.clock.after(pause_s, arrive)

    def _arrive(self, mix: CallMix) -> None:
        now_s = self.clock.now_s
        prompt = min(self._spread(mix.prompt_tokens), mix.longest_prompt)
        call = OverloadCall(
            mix,
            self._model(),
            prompt,
            self._spread(mix.output_tokens),
            now_s,
            False,
            now_s,
            deadline_s=now_s + mix.deadline_s,
            leaves_s=now_s + leaves_after_s(mix, self.site.gap_s),
            hasty=self._luck.random() < self._story.hasty_share,
        )
        self.clock.after(call.leaves_s - now_s, lambda: self._leave(call))
        self._daemon_at(self._luck.randrange(self.site.daemons)).receive(call)

    def _daemon_at(self, number: int) -> OverloadDaemon:
        daemon = self.daemons[f"h{number}"]
        assert isinstance(daemon, OverloadDaemon)
        return daemon

    def _leave(self, call: OverloadCall) -> None:
        if call.ended or call.begun:
            return
        self._end(call, self.figures.left)
        self._daemon_at(int(call.at_daemon[1:])).caller_left(call)
        self.figures.vain_s += self.clock.now_s - call.arrived_s

    def _end(self, call: OverloadCall, ended: dict[str, int]) -> None:
        call.ended = True
        self.figures.count(ended, call.mix.name)

    def cut(self, call: OverloadCall) -> None:
        """Take that a stream broke off with its engine."""
        if not call.ended:
            self._end(call, self.figures.failed)

    def ended(self, call: OverloadCall) -> None:  # type: ignore[override]
        """See `ModelledPool.ended`."""
        call.ended = True
        super().ended(call)

    def refused(self, call: OverloadCall, over_s: float) -> None:  # type: ignore[override]
        """Take that an attempt was refused, with the time of its `Retry-After`."""
        self.figures.refusals += 1
        back_s = comes_back_s(call, over_s, self._return_luck)
        if back_s is None:
            self._end(call, self.figures.refused)
            self.figures.vain_s += self.clock.now_s - call.arrived_s
            return
        call.attempts += 1
        call.accepted = call.placed = False
        call.questions = 0
        call.refused.clear()
        self.clock.after(back_s, lambda: self._come_back(call))

    def _come_back(self, call: OverloadCall) -> None:
        if not call.ended:
            self._daemon_at(self._return_luck.randrange(self.site.daemons)).receive(
                call
            )


def play_overload(
    site: LoadSite,
    policy: EnginePlacement,
    make_policy: Callable[[random.Random], OverloadPolicy],
    story: OverloadStory,
    seed: int = 1,
) -> OverloadFigures:
    """Play an overload on a pool in virtual time.

    Parameters
    ----------
    make_policy : callable
        Makes the policy of one daemon from what spreads its times.
    """
    pool = OverloadPool(site, policy, make_policy, story, seed)
    pool.run(story.ends_s)
    return pool.figures
