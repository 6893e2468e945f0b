"""The order of loads over the deployment, under the weight store's rate."""

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from knapweedbridge_core.consolidation import FullEngine, HeldAdapter, find_move
from knapweedbridge_core.copies import SATURATES_AT, BeforeSaturation, Copies, OneCopy
from knapweedbridge_core.eviction import Eviction, LeastExpected
from knapweedbridge_core.failed_loads import FailedLoads
from knapweedbridge_core.forecast import (
    ChangeAware,
    DecayedCount,
    Forecast,
    LastUse,
)
from knapweedbridge_core.load_queue import (
    DaemonDemand,
    LoadPriority,
    LoadQueue,
    LongestWait,
    MostAwaited,
)
from knapweedbridge_core.load_rate import LoadRate
from knapweedbridge_core.messages import LoadPlaced, SlotWanted
from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_core.policy import PlacementPolicy
from knapweedbridge_core.pool import Pool
from knapweedbridge_core.slot_survey import SlotSurvey
from knapweedbridge_core.slots import (
    SLACK_PER_S,
    SlotChoice,
    SlotOption,
    make_slot_choice,
)
from knapweedbridge_core.view import View

__all__ = ["LoadOrder", "Pool", "Refusal"]

LOAD_TIMEOUT_S = 5.0
LOAD_PACE = 0.1
SLOW_LOADS = 4.0
MOST_TRIED = 32
EXPECTED_EVERY_S = 2.0
MOST_EXPECTED = 256
PREFETCH_RATE_PER_S = 0.002
SLOTS_KEPT_FREE = 1
GATHER_EVERY_S = 0.25
HOUSEKEEPING_S = 1.0

FORECASTS: dict[str, Callable[[], Forecast]] = {
    "change_aware": ChangeAware,
    "decayed_count": DecayedCount,
    "last_use": LastUse,
}
ORDERS: dict[str, Callable[[], LoadPriority]] = {
    "most_awaited": MostAwaited,
    "longest_wait": LongestWait,
}


@dataclass(slots=True, frozen=True)
class Refusal:
    """Waiters that are told at once that their load comes too late.

    Parameters
    ----------
    model : AdapterVersion
        What they wait for.
    ready_in_s : float
        Requests whose deadline is nearer than this are refused.
    retry_after_s : float
        When they should come back.
    """

    model: AdapterVersion
    ready_in_s: float
    retry_after_s: float

    @property
    def fails(self) -> bool:
        """Whether the load fails again and again."""
        return self.ready_in_s == math.inf


@dataclass(slots=True)
class _UnderWay:
    endpoint: str
    victim: AdapterVersion | None
    since_s: float


class LoadOrder:
    """Decides which adapter is loaded next, where, and in whose place.

    Parameters
    ----------
    host : str
        The daemon that keeps this order.
    policy : PlacementPolicy, optional
        The decisions in force.
    forecast, eviction, slot_choice : optional
        Decisions to take in place of the policy's, as one that was kept before.
    """

    def __init__(
        self,
        host: str,
        policy: PlacementPolicy | None = None,
        forecast: Forecast | None = None,
        eviction: Eviction | None = None,
        slot_choice: SlotChoice | None = None,
    ) -> None:
        policy = policy or PlacementPolicy()
        self._host = host
        self._policy = policy
        self.forecast = forecast or FORECASTS[policy.forecast]()
        self._slot_choice = slot_choice or make_slot_choice(policy.weigh)
        self._copies: Copies = BeforeSaturation() if policy.copies else OneCopy()
        self._slots = SlotSurvey(eviction or LeastExpected(self.forecast), self._copies)
        self._queue = LoadQueue(ORDERS[policy.order]())
        self._rate = LoadRate()
        self._failed = FailedLoads()
        self._under_way: dict[AdapterVersion, _UnderWay] = {}
        self._expected: list[AdapterVersion] = []
        self._expected_s = -math.inf
        self._kept_house_s = -math.inf
        self._gathered_s = -math.inf
        self._load_s = 0.0
        self._slot_asked_s = -math.inf

    def __len__(self) -> int:
        return len(self._queue)

    def used(self, model: AdapterVersion, requests: float, now_s: float) -> None:
        """Note requests for an adapter, loaded or not."""
        self._slots.clear_worths()
        self.forecast.used(model, requests, now_s)

    def wanted(
        self, model: AdapterVersion, host: str, demand: DaemonDemand, pool: Pool
    ) -> Refusal | None:
        """Note requests that wait for an adapter; refuse what comes too late.

        Parameters
        ----------
        model : AdapterVersion
            What they wait for.
        host : str
            The daemon they wait at; what it said before is replaced.
        demand : Asker
            How many wait there, and until when.
        pool : Pool
            The pool now.
        """
        now_s = demand.reported_s
        if self._failed.is_suspended(model, now_s):
            pause_s = self._failed.wait_s(model, now_s)
            return Refusal(model, math.inf, pause_s)
        # It stays in the queue while it is under way: should the owner's answer
        # be lost, the waiters are still known.
        wanted = self._queue.update(model, host, demand)
        if model in self._under_way or not self._policy.refuse_late:
            return None
        ahead = max(self._queue.ahead_of(wanted), len(self._under_way))
        ready_in_s = (ahead + 1) * max(1 / pool.loads_per_s, self._load_s)
        ready_in_s += self._failed.wait_s(model, now_s)
        if now_s + ready_in_s <= demand.first_deadline_s:
            return None
        if now_s + ready_in_s > demand.last_deadline_s:
            self._queue.withdraw(model, host)
        late_s = now_s + ready_in_s - demand.first_deadline_s
        return Refusal(model, ready_in_s, max(late_s, 1 / pool.loads_per_s))

    def loaded(self, model: AdapterVersion, now_s: float) -> None:
        """Note that an endpoint holds what was loaded."""
        load = self._under_way.pop(model, None)
        if load is not None:
            took_s = now_s - load.since_s
            pace = LOAD_PACE if self._load_s else 1.0
            self._load_s += pace * (took_s - self._load_s)
        self._failed.record_success(model)
        self._queue.remove(model)
        self._slots.loaded(model, now_s)

    def next_slot(self, pool: Pool, now_s: float) -> SlotWanted | None:
        """Return the slot to empty while a load runs, for the load after it.

        An eviction takes several round trips, in which the weight store would
        stand idle; while another load runs they cost nothing.
        """
        load = next(iter(self._under_way.items()), None)
        if load is None or now_s < self._slot_asked_s + 1 / pool.loads_per_s:
            return None
        options = self._options(load[0], pool, now_s)
        if any(option.victim is None for option in options):
            return None
        chosen = self._slot_choice.choose(load[0], options)
        if chosen is None or chosen.victim is None:
            return None
        self._slot_asked_s = now_s
        return SlotWanted(chosen.endpoint, chosen.victim)

    def record_slot_declined(
        self, endpoint: str, victim: AdapterVersion, now_s: float
    ) -> None:
        """Note that a slot is pinned, so that another one is asked for."""
        self._slots.pinned(endpoint, victim, now_s)
        self._slot_asked_s = -math.inf

    def record_declined(
        self, model: AdapterVersion, loads_per_s: float, now_s: float
    ) -> None:
        """Note that an owner did not start a load, as by a pinned victim."""
        load = self._under_way.pop(model, None)
        if load is None:
            return
        self._rate.record_unused(loads_per_s)
        # The view learns only at the owner's next word why it declined: till
        # then the next choice must not be the same slot again.
        self._slots.pinned(load.endpoint, load.victim, now_s)

    def failed(self, model: AdapterVersion, endpoint: str, now_s: float) -> None:
        """Note that a load was started and failed."""
        self._under_way.pop(model, None)
        self._failed.failed(model, endpoint, now_s)

    def suspended_refusals(self, now_s: float) -> list[tuple[str, Refusal]]:
        """Return the daemons to tell that a version fails again and again."""
        told = []
        for model in self._failed.suspended(now_s):
            wanted = self._queue.remove(model)
            if wanted is None:
                continue
            pause_s = self._failed.wait_s(model, now_s)
            refusal = Refusal(model, math.inf, pause_s)
            told += [(host, refusal) for host in wanted.demands]
        return told

    def next_load(self, pool: Pool, now_s: float) -> LoadPlaced | None:
        """Return the load to start now, if any."""
        self._keep_house(pool.view, now_s)
        if not self._may_start(pool, now_s):
            return None
        placed = self._next_placed(pool, now_s)
        if placed is None:
            return None
        load = _UnderWay(placed.endpoint, placed.victim, now_s)
        self._under_way[placed.model] = load
        self._rate.record_start(pool.loads_per_s, now_s)
        return placed

    def _next_placed(self, pool: Pool, now_s: float) -> LoadPlaced | None:
        for model in self._next_models(pool, now_s):
            placed = self._place(model, pool, now_s)
            if placed is not None:
                return placed
        return None if len(self._queue) else self._gather(pool, now_s)

    def _gather(self, pool: Pool, now_s: float) -> LoadPlaced | None:
        if not self._policy.weigh or now_s - self._gathered_s < GATHER_EVERY_S:
            return None
        self._gathered_s = now_s
        by_base_model: dict[str, list[FullEngine]] = {}
        for entry in self._slots.engines(pool):
            state = pool.view.endpoints.get(entry.name)
            if state is not None and len(state.loaded) >= entry.slots:
                held = [self._held(entry.name, m, pool, now_s) for m in state.loaded]
                engine = FullEngine(entry.name, state.running, entry.batch, held)
                by_base_model.setdefault(entry.base_model, []).append(engine)
        for engines in by_base_model.values():
            move = find_move(engines, SLACK_PER_S * self._policy.weigh)
            if move is not None:
                return LoadPlaced(move.model, move.endpoint, move.victim, self._host)
        return None

    def _held(
        self, endpoint: str, model: AdapterVersion, pool: Pool, now_s: float
    ) -> HeldAdapter:
        return HeldAdapter(
            model,
            self.forecast.rate_per_s(model, now_s),
            self._slots.worth(model, pool.view, now_s),
            pool.view.copies(model),
            self._slots.is_pinned(endpoint, model, now_s),
        )

    def _may_start(self, pool: Pool, now_s: float) -> bool:
        slow_s = SLOW_LOADS / pool.loads_per_s
        moving = [
            load for load in self._under_way.values() if now_s - load.since_s < slow_s
        ]
        return not moving and self._rate.may_start(pool.loads_per_s, now_s)

    def _next_models(self, pool: Pool, now_s: float) -> Iterator[AdapterVersion]:
        for wanted in self._queue.first(MOST_TRIED):
            model = wanted.model
            if pool.copies(model) or self._queue.is_expired(wanted, now_s):
                self._queue.remove(model)
                continue
            if model in self._under_way or self._failed.wait_s(model, now_s) > 0:
                continue
            yield model
        yield from self._copies_wanted(pool)
        if self._policy.prefetch and not len(self._queue):
            yield from self._prefetches(pool, now_s)

    def _copies_wanted(self, pool: Pool) -> Iterator[AdapterVersion]:
        if not isinstance(self._copies, BeforeSaturation):
            return
        for model in self._copies.hot:
            held = pool.copies(model)
            if 0 < held < self._copies.needed(model) and model not in self._under_way:
                yield model

    def _prefetches(self, pool: Pool, now_s: float) -> Iterator[AdapterVersion]:
        free = sum(
            max(0, entry.slots - len(pool.view.endpoints[entry.name].loaded))
            for entry in pool.engines
            if entry.name in pool.view.endpoints
        )
        if free <= SLOTS_KEPT_FREE:
            return
        if now_s - self._expected_s >= EXPECTED_EVERY_S:
            self._expected = self.forecast.expected(now_s, MOST_EXPECTED)
            self._expected_s = now_s
        for model in self._expected:
            if self.forecast.rate_per_s(model, now_s) < PREFETCH_RATE_PER_S:
                return
            waits = self._failed.wait_s(model, now_s) > 0 or model in self._under_way
            if not waits and not pool.copies(model):
                yield model

    def record_batch_fill(self, pool: Pool, now_s: float) -> None:
        """See which adapter versions need another copy, or one fewer."""
        fills = {
            entry.name: pool.view.endpoints[entry.name].running / entry.batch
            for entry in pool.engines
            if entry.name in pool.view.endpoints
        }
        noted = set()
        if isinstance(self._copies, BeforeSaturation):
            noted.update(self._copies.hot)
        for name, fill in fills.items():
            loaded = pool.view.endpoints[name].loaded
            if loaded and fill >= SATURATES_AT:
                noted.add(
                    max(
                        loaded,
                        key=lambda held: (self.forecast.rate_per_s(held, now_s), held),
                    )
                )
        for model in noted:
            holders = [name for name in pool.holders(model) if name in fills]
            self._copies.record_fills(model, [fills[name] for name in holders])

    def _keep_house(self, view: View, now_s: float) -> None:
        if now_s - self._kept_house_s < HOUSEKEEPING_S:
            return
        self._kept_house_s = now_s
        self._queue.remove_silent(now_s)
        self._failed.forget_old(now_s)
        for model, load in list(self._under_way.items()):
            if now_s - load.since_s > LOAD_TIMEOUT_S:
                # Its owner died with the order: the waiters still ask, and
                # another endpoint takes the load.
                del self._under_way[model]
        self._slots.forget_old(now_s)

    def _place(
        self, model: AdapterVersion, pool: Pool, now_s: float
    ) -> LoadPlaced | None:
        options = self._options(model, pool, now_s)
        failed_endpoints = self._failed.failed_endpoints(model)
        elsewhere = [
            option for option in options if option.endpoint not in failed_endpoints
        ]
        chosen = self._slot_choice.choose(model, elsewhere or options)
        if chosen is None:
            return None
        return LoadPlaced(model, chosen.endpoint, chosen.victim, self._host)

    def _options(
        self, model: AdapterVersion, pool: Pool, now_s: float
    ) -> list[SlotOption]:
        busy = {load.endpoint for load in self._under_way.values()}
        return list(self._slots.options(model, pool, busy, now_s))
