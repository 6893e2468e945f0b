"""A model engine: slots, steps that read prompts and make tokens, adapters."""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from knapweedbridge_core.serving import (
    EngineReport,
    ModelRef,
    Order,
    OrderAnswer,
    OrderKind,
)
from knapweedbridge_core.serving.load_times import WARM_LOAD_S
from knapweedbridge_core.serving.recent_adapters import RecentAdapters
from knapweedbridge_standins.serving_load.sites import LoadSite
from knapweedbridge_standins.virtual_pool import VirtualClock


class WeightStore:
    """Counts the adapters that are on their way to any engine."""

    def __init__(self, site: LoadSite) -> None:
        self._site = site
        self.coming = 0
        self.fetched = 0

    def fetch_s(self) -> float:
        """Begin a fetch, and return how long it takes."""
        self.coming += 1
        self.fetched += 1
        crowded = self.coming / self._site.loads_at_once
        return self._site.load_s * max(1.0, crowded)


@dataclass(slots=True)
class EngineCall:
    """One call on an engine.

    Parameters
    ----------
    on_first, on_end : callable
        Called at the first event and at the end.
    on_pause : callable
        Takes the time since the last event.
    """

    model: ModelRef
    prompt_tokens: int
    output_tokens: int
    on_first: Callable[[], None]
    on_end: Callable[[], None]
    on_pause: Callable[[float], None]
    unread_tokens: int = 0
    made_tokens: int = 0
    event_s: float = 0.0


class SlowPeriods:
    """Periods in which an engine takes longer for all that it does."""

    def __init__(self, site: LoadSite, luck: random.Random) -> None:
        self._site = site
        self._luck = luck
        self._ends_s = self._begins_s = 0.0
        self._plan()

    def _plan(self) -> None:
        site = self._site
        calm_s = site.slow_period_s * (1 / site.slow_share - 1)
        self._begins_s = self._ends_s + self._luck.expovariate(1 / calm_s)
        self._ends_s = self._begins_s + site.slow_period_s

    def factor(self, now_s: float) -> float:
        """Return how many times as long as usual its work takes now."""
        while self._ends_s <= now_s:
            self._plan()
        return self._site.slow_factor if now_s >= self._begins_s else 1.0


class ModelledEngine:
    """One engine in virtual time.

    Parameters
    ----------
    speed : float
        Times that its steps and its reading take in times of the site's.
    luck : random.Random
        When its slow periods come.
    """

    def __init__(
        self,
        clock: VirtualClock,
        site: LoadSite,
        store: WeightStore,
        speed: float,
        luck: random.Random,
    ) -> None:
        self.speed = speed
        self._slow = SlowPeriods(site, luck) if site.slow_share else None
        self._clock = clock
        self._site = site
        self._store = store
        self._queue: deque[EngineCall] = deque()
        self._running: list[EngineCall] = []
        self._stepping = False
        self.held: dict[ModelRef, float] = {}
        self._recent = RecentAdapters()
        self.sequence = 0

    def send(self, call: EngineCall) -> bool:
        """Take a call; False where its adapter is not there."""
        ready_s = self.held.get(call.model)
        if call.model.adapter and (ready_s is None or ready_s > self._clock.now_s):
            return False
        call.unread_tokens = call.prompt_tokens
        self._queue.append(call)
        if not self._stepping:
            self._stepping = True
            self._step()
        return True

    def _step(self) -> None:
        while self._queue and len(self._running) < self._site.slots:
            self._running.append(self._queue.popleft())
        if not self._running:
            self._stepping = False
            return
        left, read = self._site.chunk_tokens, 0
        for call in self._running:
            part = min(left, call.unread_tokens)
            call.unread_tokens -= part
            left -= part
            read += part
        site = self._site
        took_s = site.step_s + site.slot_step_s * len(self._running)
        took_s = (took_s + read / site.read_tokens_per_s) * self._times_usual()
        self._clock.after(took_s, self._end_step)

    def _times_usual(self) -> float:
        if self._slow is None:
            return self.speed
        return self.speed * self._slow.factor(self._clock.now_s)

    def _end_step(self) -> None:
        ended = [call for call in self._running if self._advance(call)]
        for call in ended:
            self._running.remove(call)
        self._step()

    def _advance(self, call: EngineCall) -> bool:
        """Make one token of a call; tell whether that was its last."""
        if call.unread_tokens:
            return False
        call.made_tokens += 1
        done = call.made_tokens >= call.output_tokens
        if call.made_tokens % self._site.event_tokens == 0 or done:
            now_s = self._clock.now_s
            if call.event_s:
                call.on_pause(now_s - call.event_s)
            else:
                call.on_first()
            call.event_s = now_s
        if done:
            call.on_end()
        return done

    def _uses(self, model: ModelRef) -> bool:
        return any(call.model == model for call in [*self._running, *self._queue])

    def order(self, order: Order) -> OrderAnswer:
        """Carry out an order."""
        if order.sequence != self.sequence:
            return OrderAnswer.CONFLICT
        self.sequence += 1
        if order.kind is OrderKind.UNLOAD:
            self.held.pop(order.model, None)
            self._recent.add(order.model)
            return OrderAnswer.DONE
        if len(self.held) >= self._site.places:
            raise AssertionError("an engine was ordered beyond its places")
        load_s = WARM_LOAD_S
        if order.model in self._recent:
            self._recent.discard(order.model)
        else:
            load_s = self._store.fetch_s()
            self._clock.after(load_s, self._fetched)
        self.held[order.model] = self._clock.now_s + load_s
        return OrderAnswer.STARTED

    def _fetched(self) -> None:
        self._store.coming -= 1

    def report(self) -> EngineReport:
        """Return what it holds."""
        now_s = self._clock.now_s
        held = {model: 1 for model, ready_s in self.held.items() if ready_s <= now_s}
        coming = {model: 1 for model, ready_s in self.held.items() if ready_s > now_s}
        return EngineReport(self.sequence, ("m",), held, coming)
