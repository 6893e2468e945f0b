"""One pool in virtual time, driving the core's placement decisions directly.

Arrivals, engines and the weight store are small fakes; the order of loads, the
forecast, the eviction, the choice of slots and admission are the core's own.
"""

import bisect
import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from knapweedbridge_core.configuration import EndpointEntry
from knapweedbridge_core.forecast import Forecast
from knapweedbridge_core.load_queue import DaemonDemand
from knapweedbridge_core.loads import LoadOrder, Pool
from knapweedbridge_core.messages import EndpointUpdate
from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_core.placement import Holder, Placement
from knapweedbridge_core.view import View

STEP_S = 0.02
TOKENS = (50, 150)
USE_REPORT_INTERVAL_S = 1.0
DEADLINE_S = 5.0
HISTORY_S = 7200.0


@dataclass(slots=True, frozen=True)
class Site:
    """Sizes of one deployment."""

    name: str
    engines: int
    slots: int
    batch: int
    adapters: int
    loads_per_s: float
    weigh: float
    skew: float = 1.0


OKAVANGO = Site("okavango", 6, 12, 16, 3000, 3.0, 0.0)
CHAOPHRAYA = Site("chaophraya", 9, 11, 16, 3000, 4.0, 1.0)


@dataclass(slots=True, frozen=True)
class Faults:
    """What goes wrong in a run.

    Parameters
    ----------
    shift_s : float or None
        When every adapter gets another rank.
    restart_s : float or None
        When engines lose all that they hold.
    restarts : int
        How many.
    failing : float
        Share of the loads that fail at their end.
    poisoned : int
        Adapters, from the most popular on, of which every load fails.
    drift_per_s : float
        Pairs of adapters that change ranks a second, on the mean.
    """

    shift_s: float | None = None
    restart_s: float | None = None
    restarts: int = 0
    failing: float = 0.0
    poisoned: int = 0
    drift_per_s: float = 0.0


@dataclass(slots=True, frozen=True)
class Arrival:
    """One request."""

    at_s: float
    model: AdapterVersion
    service_s: float


def arrivals(
    site: Site, per_s: float, run_s: float, seed: int, faults: Faults
) -> list[Arrival]:
    """Draw a Poisson stream over adapters of a Zipf popularity.

    It begins ``HISTORY_S`` before time 0: what the daemons saw before the run.
    """
    rng = random.Random(seed)
    models = [AdapterVersion(f"a{rank:05}", "1") for rank in range(site.adapters)]
    weights = (1 / (rank + 1) ** site.skew for rank in range(site.adapters))
    sums = list(itertools.accumulate(weights))
    drawn: list[Arrival] = []
    at_s = -HISTORY_S
    shifted = faults.shift_s is None
    drifts_s = at_s + rng.expovariate(faults.drift_per_s or 1e-9)
    while True:
        at_s += rng.expovariate(per_s)
        if at_s > run_s:
            return drawn
        if not shifted and at_s > faults.shift_s:
            rng.shuffle(models)
            shifted = True
        while at_s > drifts_s:
            one, other = rng.randrange(site.adapters), rng.randrange(site.adapters)
            models[one], models[other] = models[other], models[one]
            drifts_s += rng.expovariate(faults.drift_per_s)
        model = models[bisect.bisect(sums, rng.random() * sums[-1])]
        drawn.append(Arrival(at_s, model, rng.randint(*TOKENS) * STEP_S))


@dataclass(slots=True)
class Engine:
    """A fake engine: slots, a batch, and a queue behind it."""

    entry: EndpointEntry
    loaded: set[AdapterVersion] = field(default_factory=set)
    pins: dict[AdapterVersion, int] = field(default_factory=dict)
    running: int = 0
    behind: deque = field(default_factory=deque)
    life: int = 0
    since_s: float = 0.0
    busy_s: float = 0.0
    shared_s: float = 0.0

    def account(self, now_s: float, from_s: float) -> None:
        """Add the time since the last change to the sums of the batch's fill."""
        past_s = now_s - max(self.since_s, from_s)
        if past_s > 0 and self.running:
            self.busy_s += past_s
            self.shared_s += past_s * self.running
        self.since_s = now_s


@dataclass(slots=True)
class Result:
    """What callers saw after the warm-up, and what it cost."""

    stalls: list[tuple[float, float]] = field(default_factory=list)
    loaded_waits: list[float] = field(default_factory=list)
    refused: list[float] = field(default_factory=list)
    loads: int = 0
    failed_loads: int = 0
    evictions: int = 0
    fill: float = 0.0


class Run:
    """One run of one policy over one stream of arrivals."""

    def __init__(
        self,
        site: Site,
        stream: list[Arrival],
        order: LoadOrder,
        join: Placement,
        faults: Faults,
        warm_s: float,
        seed: int,
        instant: bool = False,
    ) -> None:
        self._site, self._stream, self._order = site, stream, order
        self._join, self._faults, self._warm_s = join, faults, warm_s
        self._rng = random.Random(seed + 77)
        self._instant = instant
        entries = [
            EndpointEntry(
                f"draft-{place}", "engine", "", "dc1", "base", "", site.slots,
                site.batch, False,
            )
            for place in range(site.engines)
        ]  # fmt: skip
        self.engines = {entry.name: Engine(entry) for entry in entries}
        rate = 1e9 if instant else site.loads_per_s
        self.pool = Pool(entries, View(), lambda model: "base", rate)
        self._poisoned = {
            AdapterVersion(f"a{rank:05}", "1") for rank in range(faults.poisoned)
        }
        self._waiting: dict[AdapterVersion, list[Arrival]] = {}
        self._missed: set[Arrival] = set()
        self._uses: dict[AdapterVersion, int] = {}
        self._events: list[tuple] = []
        self._ids = itertools.count()
        self.result = Result()

    def run(self) -> Result:
        """Run to the end of the stream."""
        for arrival in self._stream:
            if arrival.at_s < 0:
                self._order.used(arrival.model, 1, arrival.at_s)
            else:
                self._at(arrival.at_s, self._arrive, arrival)
        end_s = self._stream[-1].at_s
        self._at(0.0, self._tell_uses)
        if self._faults.restart_s is not None:
            self._at(self._faults.restart_s, self._restart)
        for engine in self.engines.values():
            self.publish(engine)
        while self._events:
            now_s, _, act, arguments = heapq.heappop(self._events)
            if now_s > end_s:
                break
            act(now_s, *arguments)
        for engine in self.engines.values():
            engine.account(end_s, self._warm_s)
        busy_s = sum(engine.busy_s for engine in self.engines.values())
        shared_s = sum(engine.shared_s for engine in self.engines.values())
        self.result.fill = shared_s / busy_s
        return self.result

    def _at(self, at_s: float, act: Callable, *arguments: object) -> None:
        heapq.heappush(self._events, (at_s, next(self._ids), act, arguments))

    def _tell_uses(self, now_s: float) -> None:
        for model, count in self._uses.items():
            self._order.used(model, count, now_s)
        self._uses.clear()
        self._order.record_batch_fill(self.pool, now_s)
        self._at(now_s + USE_REPORT_INTERVAL_S, self._tell_uses)
        self._start(now_s)

    def _arrive(self, now_s: float, arrival: Arrival) -> None:
        model = arrival.model
        self._uses[model] = self._uses.get(model, 0) + 1
        holders = [self.engines[name] for name in self.pool.view.holders(model)]
        if holders:
            self._serve(now_s, self._choose(holders), arrival)
            return
        self._missed.add(arrival)
        self._waiting.setdefault(model, []).append(arrival)
        self._at(now_s + DEADLINE_S, self._expire, arrival)
        self._ask(now_s, model)
        self._start(now_s)

    def _choose(self, holders: list[Engine]) -> Engine:
        if len(holders) == 1:
            return holders[0]
        options = [
            Holder(
                engine.entry.name,
                engine.running + len(engine.behind),
                engine.entry.batch,
            )
            for engine in holders
        ]
        return self.engines[self._join.choose(options).endpoint]

    def _ask(self, now_s: float, model: AdapterVersion) -> None:
        waiting = self._waiting[model]
        asker = DaemonDemand(
            len(waiting),
            waiting[0].at_s,
            waiting[0].at_s + DEADLINE_S,
            waiting[-1].at_s + DEADLINE_S,
            now_s,
        )
        refusal = self._order.wanted(model, "host-0", asker, self.pool)
        if refusal is not None:
            self._refuse(now_s, refusal)

    def _refuse(self, now_s: float, refusal: object) -> None:
        kept = []
        for arrival in self._waiting.get(refusal.model, []):
            if arrival.at_s + DEADLINE_S < now_s + refusal.ready_in_s:
                self._give_up(arrival)
            else:
                kept.append(arrival)
        self._waiting[refusal.model] = kept
        if not kept:
            del self._waiting[refusal.model]

    def _give_up(self, arrival: Arrival) -> None:
        if arrival.at_s > self._warm_s:
            self.result.refused.append(arrival.at_s)

    def _expire(self, now_s: float, arrival: Arrival) -> None:
        waiting = self._waiting.get(arrival.model, [])
        if arrival in waiting:
            waiting.remove(arrival)
            self._give_up(arrival)
            if not waiting:
                del self._waiting[arrival.model]

    def _start(self, now_s: float) -> None:
        while True:
            placed = self._order.next_load(self.pool, now_s)
            if placed is None:
                return
            engine = self.engines[placed.endpoint]
            if placed.victim is not None:
                if engine.pins.get(placed.victim):
                    self._order.record_declined(
                        placed.model, self.pool.loads_per_s, now_s
                    )
                    continue
                engine.loaded.discard(placed.victim)
                self.publish(engine)
                self.result.evictions += now_s > self._warm_s
            self.result.loads += now_s > self._warm_s
            load_s = 0.0 if self._instant else 1 / self._site.loads_per_s
            self._at(now_s + load_s, self._loaded, placed, engine.life)

    def _loaded(self, now_s: float, placed: object, life: int) -> None:
        engine = self.engines[placed.endpoint]
        failed = placed.model in self._poisoned or engine.life != life
        failed = failed or self._rng.random() < self._faults.failing
        if not failed:
            engine.loaded.add(placed.model)
            self.publish(engine)
        else:
            self.result.failed_loads += now_s > self._warm_s
            self._order.failed(placed.model, placed.endpoint, now_s)
        if not failed:
            self._order.loaded(placed.model, now_s)
            for arrival in self._waiting.pop(placed.model, []):
                self._serve(now_s, engine, arrival)
        for _, refusal in self._order.suspended_refusals(now_s):
            self._refuse(now_s, refusal)
        self._start(now_s)

    def _restart(self, now_s: float) -> None:
        for engine in list(self.engines.values())[: self._faults.restarts]:
            engine.account(now_s, self._warm_s)
            engine.life += 1
            engine.running = 0
            engine.loaded.clear()
            engine.pins.clear()
            engine.behind.clear()
            self.publish(engine)

    def _serve(self, now_s: float, engine: Engine, arrival: Arrival) -> None:
        engine.pins[arrival.model] = engine.pins.get(arrival.model, 0) + 1
        if engine.running >= engine.entry.batch:
            engine.behind.append(arrival)
            return
        engine.account(now_s, self._warm_s)
        engine.running += 1
        self._note(now_s, arrival, arrival in self._missed)
        self._publish_running(engine)
        self._at(now_s + arrival.service_s, self._served, engine, engine.life, arrival)

    def _note(self, now_s: float, arrival: Arrival, missed: bool) -> None:
        if arrival.at_s > self._warm_s:
            wait_s = now_s - arrival.at_s
            self.result.stalls.append((arrival.at_s, wait_s))
            if not missed:
                self.result.loaded_waits.append(wait_s)

    def _served(
        self, now_s: float, engine: Engine, life: int, arrival: Arrival
    ) -> None:
        if engine.life != life:
            return
        engine.account(now_s, self._warm_s)
        engine.running -= 1
        engine.pins[arrival.model] -= 1
        self._publish_running(engine)
        if engine.behind:
            behind = engine.behind.popleft()
            engine.pins[behind.model] -= 1
            self._serve(now_s, engine, behind)
        if self._waiting:
            self._start(now_s)

    def publish(self, engine: Engine) -> None:
        """Let the core see what an engine holds and runs."""
        name = engine.entry.name
        loaded = list(engine.loaded)
        self.pool.view.apply_update(
            EndpointUpdate(name, "h", 1, loaded, engine.running)
        )

    def _publish_running(self, engine: Engine) -> None:
        self.pool.view.endpoints[engine.entry.name].running = engine.running


class NextUse(Forecast):
    """The bound: knows the arrivals."""

    def __init__(self, stream: list[Arrival]) -> None:
        self._uses_s: dict[AdapterVersion, list[float]] = {}
        for arrival in stream:
            self._uses_s.setdefault(arrival.model, []).append(arrival.at_s)

    def used(self, model: AdapterVersion, requests: float, now_s: float) -> None:
        """See `Forecast.used`."""

    def rate_per_s(self, model: AdapterVersion, now_s: float) -> float:
        """See `Forecast.rate_per_s`."""
        uses_s = self._uses_s.get(model, [])
        place = bisect.bisect(uses_s, now_s)
        if place == len(uses_s):
            return 0.0
        return 1 / (uses_s[place] - now_s)


class TrueRate(Forecast):
    """Knows each adapter's rate, but not the arrivals."""

    def __init__(self, stream: list[Arrival]) -> None:
        self._order: dict[AdapterVersion, float] = {}
        for arrival in stream:
            self._order[arrival.model] = 1 / (1 + int(arrival.model.adapter[1:]))

    def used(self, model: AdapterVersion, requests: float, now_s: float) -> None:
        """See `Forecast.used`."""

    def rate_per_s(self, model: AdapterVersion, now_s: float) -> float:
        """See `Forecast.rate_per_s`."""
        return self._order[model]
