"""Scheduling of adapter loads over the deployment, within the weight store's rate."""

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
LOAD_TIME_SMOOTHING = 0.1
SLOW_AFTER_PERIODS = 4.0
MAX_QUEUED_TRIED = 32
FORECAST_INTERVAL_S = 2.0
MAX_FORECAST = 256
MIN_PREFETCH_RATE_PER_S = 0.002
RESERVED_FREE_SLOTS = 1
CONSOLIDATION_INTERVAL_S = 0.25
HOUSEKEEPING_INTERVAL_S = 1.0

FORECASTS: dict[str, Callable[[], Forecast]] = {
    "change_aware": ChangeAware,
    "decayed_count": DecayedCount,
    "last_use": LastUse,
}
PRIORITIES: dict[str, Callable[[], LoadPriority]] = {
    "most_awaited": MostAwaited,
    "longest_wait": LongestWait,
}


@dataclass(slots=True, frozen=True)
class Refusal:
    """Early refusal of requests whose adapter cannot be loaded in time.

    Parameters
    ----------
    model : AdapterVersion
        The adapter version that the requests wait for.
    ready_in_s : float
        Estimated time to the end of the load; requests whose deadline is earlier
        are refused.
    retry_after_s : float
        Time after which callers should retry.
    """

    model: AdapterVersion
    ready_in_s: float
    retry_after_s: float

    @property
    def fails(self) -> bool:
        """Return whether loads of this version fail repeatedly."""
        return self.ready_in_s == math.inf


@dataclass(slots=True)
class _RunningLoad:
    endpoint: str
    victim: AdapterVersion | None
    started_at_s: float


class LoadOrder:
    """Decides which adapter is loaded next, into which slot, and what it evicts.

    Parameters
    ----------
    host : str
        The daemon that coordinates the loads.
    policy : PlacementPolicy, optional
        The placement policy in force.
    forecast, eviction, slot_choice : optional
        Strategies that override the policy's, such as a forecast that is kept when
        the policy changes.
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
        self._queue = LoadQueue(PRIORITIES[policy.order]())
        self._rate = LoadRate()
        self._failed = FailedLoads()
        self._running_loads: dict[AdapterVersion, _RunningLoad] = {}
        self._forecast_models: list[AdapterVersion] = []
        self._forecast_at_s = -math.inf
        self._housekeeping_at_s = -math.inf
        self._consolidated_at_s = -math.inf
        self._mean_load_s = 0.0
        self._slot_requested_at_s = -math.inf

    def __len__(self) -> int:
        return len(self._queue)

    def used(self, model: AdapterVersion, requests: float, now_s: float) -> None:
        """Record requests for an adapter, whether it is loaded or not."""
        self._slots.clear_worths()
        self.forecast.used(model, requests, now_s)

    def wanted(
        self, model: AdapterVersion, host: str, demand: DaemonDemand, pool: Pool
    ) -> Refusal | None:
        """Record the demand of a daemon for an adapter, or refuse it as too late.

        Parameters
        ----------
        model : AdapterVersion
            The adapter version that the requests wait for.
        host : str
            The daemon that queues them; its previous report is replaced.
        demand : DaemonDemand
            Number of requests queued there, with their deadlines.
        pool : Pool
            The current state of the pool.

        Returns
        -------
        Refusal or None
            Which requests the daemon should refuse; None if all may wait.
        """
        now_s = demand.reported_s
        if self._failed.is_suspended(model, now_s):
            pause_s = self._failed.wait_s(model, now_s)
            return Refusal(model, math.inf, pause_s)
        # The entry stays in the queue during the load, so that the demand is still
        # known if the owner's response is lost.
        wanted = self._queue.update(model, host, demand)
        if model in self._running_loads or not self._policy.refuse_late:
            return None
        ahead = max(self._queue.ahead_of(wanted), len(self._running_loads))
        ready_in_s = (ahead + 1) * max(1 / pool.loads_per_s, self._mean_load_s)
        ready_in_s += self._failed.wait_s(model, now_s)
        if now_s + ready_in_s <= demand.first_deadline_s:
            return None
        if now_s + ready_in_s > demand.last_deadline_s:
            self._queue.withdraw(model, host)
        late_s = now_s + ready_in_s - demand.first_deadline_s
        return Refusal(model, ready_in_s, max(late_s, 1 / pool.loads_per_s))

    def loaded(self, model: AdapterVersion, now_s: float) -> None:
        """Record that a load succeeded."""
        load = self._running_loads.pop(model, None)
        if load is not None:
            took_s = now_s - load.started_at_s
            smoothing = LOAD_TIME_SMOOTHING if self._mean_load_s else 1.0
            self._mean_load_s += smoothing * (took_s - self._mean_load_s)
        self._failed.record_success(model)
        self._queue.remove(model)
        self._slots.loaded(model, now_s)

    def next_slot(self, pool: Pool, now_s: float) -> SlotWanted | None:
        """Return the slot to evict during the current load, for the load after it.

        An eviction takes several round trips, during which the weight store would
        be idle. Their latency is hidden when they overlap with another load.
        """
        load = next(iter(self._running_loads.items()), None)
        if load is None or now_s < self._slot_requested_at_s + 1 / pool.loads_per_s:
            return None
        options = self._slot_options(load[0], pool, now_s)
        if any(option.victim is None for option in options):
            return None
        chosen = self._slot_choice.choose(load[0], options)
        if chosen is None or chosen.victim is None:
            return None
        self._slot_requested_at_s = now_s
        return SlotWanted(chosen.endpoint, chosen.victim)

    def record_slot_declined(
        self, endpoint: str, victim: AdapterVersion, now_s: float
    ) -> None:
        """Record that a slot is pinned, so that another one is requested."""
        self._slots.pinned(endpoint, victim, now_s)
        self._slot_requested_at_s = -math.inf

    def record_declined(
        self, model: AdapterVersion, loads_per_s: float, now_s: float
    ) -> None:
        """Record that an owner did not start a load, e.g. as its victim is pinned."""
        load = self._running_loads.pop(model, None)
        if load is None:
            return
        self._rate.record_unused(loads_per_s)
        # The view shows the reason only after the owner's next update. Until then
        # the same slot must not be chosen again.
        self._slots.pinned(load.endpoint, load.victim, now_s)

    def failed(self, model: AdapterVersion, endpoint: str, now_s: float) -> None:
        """Record that a load was started and failed."""
        self._running_loads.pop(model, None)
        self._failed.failed(model, endpoint, now_s)

    def suspended_refusals(self, now_s: float) -> list[tuple[str, Refusal]]:
        """Drop versions whose loads fail repeatedly; return the refusals per daemon."""
        refusals = []
        for model in self._failed.suspended(now_s):
            wanted = self._queue.remove(model)
            if wanted is None:
                continue
            pause_s = self._failed.wait_s(model, now_s)
            refusal = Refusal(model, math.inf, pause_s)
            refusals += [(host, refusal) for host in wanted.demands]
        return refusals

    def next_load(self, pool: Pool, now_s: float) -> LoadPlaced | None:
        """Return the load to start now, or None."""
        self._run_housekeeping(pool.view, now_s)
        if not self._may_start(pool, now_s):
            return None
        placed = self._next_placed(pool, now_s)
        if placed is None:
            return None
        load = _RunningLoad(placed.endpoint, placed.victim, now_s)
        self._running_loads[placed.model] = load
        self._rate.record_start(pool.loads_per_s, now_s)
        return placed

    def _next_placed(self, pool: Pool, now_s: float) -> LoadPlaced | None:
        for model in self._load_candidates(pool, now_s):
            placed = self._place(model, pool, now_s)
            if placed is not None:
                return placed
        return None if len(self._queue) else self._consolidate(pool, now_s)

    def _consolidate(self, pool: Pool, now_s: float) -> LoadPlaced | None:
        if (
            not self._policy.weigh
            or now_s - self._consolidated_at_s < CONSOLIDATION_INTERVAL_S
        ):
            return None
        self._consolidated_at_s = now_s
        by_base_model: dict[str, list[FullEngine]] = {}
        for entry in self._slots.engines(pool):
            state = pool.view.endpoints.get(entry.name)
            if state is not None and len(state.loaded) >= entry.slots:
                held = [
                    self._describe_held(entry.name, m, pool, now_s)
                    for m in state.loaded
                ]
                engine = FullEngine(entry.name, state.running, entry.batch, held)
                by_base_model.setdefault(entry.base_model, []).append(engine)
        for engines in by_base_model.values():
            move = find_move(engines, SLACK_PER_S * self._policy.weigh)
            if move is not None:
                return LoadPlaced(move.model, move.endpoint, move.victim, self._host)
        return None

    def _describe_held(
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
        slow_s = SLOW_AFTER_PERIODS / pool.loads_per_s
        blocking = [
            load
            for load in self._running_loads.values()
            if now_s - load.started_at_s < slow_s
        ]
        return not blocking and self._rate.may_start(pool.loads_per_s, now_s)

    def _load_candidates(self, pool: Pool, now_s: float) -> Iterator[AdapterVersion]:
        for wanted in self._queue.first(MAX_QUEUED_TRIED):
            model = wanted.model
            if pool.copies(model) or self._queue.is_expired(wanted, now_s):
                self._queue.remove(model)
                continue
            if model in self._running_loads or self._failed.wait_s(model, now_s) > 0:
                continue
            yield model
        yield from self._missing_copies(pool)
        if self._policy.prefetch and not len(self._queue):
            yield from self._prefetch_candidates(pool, now_s)

    def _missing_copies(self, pool: Pool) -> Iterator[AdapterVersion]:
        if not isinstance(self._copies, BeforeSaturation):
            return
        for model in self._copies.hot:
            held = pool.copies(model)
            if (
                0 < held < self._copies.needed(model)
                and model not in self._running_loads
            ):
                yield model

    def _prefetch_candidates(
        self, pool: Pool, now_s: float
    ) -> Iterator[AdapterVersion]:
        free = sum(
            max(0, entry.slots - len(pool.view.endpoints[entry.name].loaded))
            for entry in pool.engines
            if entry.name in pool.view.endpoints
        )
        if free <= RESERVED_FREE_SLOTS:
            return
        if now_s - self._forecast_at_s >= FORECAST_INTERVAL_S:
            self._forecast_models = self.forecast.expected(now_s, MAX_FORECAST)
            self._forecast_at_s = now_s
        for model in self._forecast_models:
            if self.forecast.rate_per_s(model, now_s) < MIN_PREFETCH_RATE_PER_S:
                return
            blocked = (
                self._failed.wait_s(model, now_s) > 0 or model in self._running_loads
            )
            if not blocked and not pool.copies(model):
                yield model

    def record_batch_fill(self, pool: Pool, now_s: float) -> None:
        """Update from the batch fill of the endpoints how many copies are needed."""
        fills = {
            entry.name: pool.view.endpoints[entry.name].running / entry.batch
            for entry in pool.engines
            if entry.name in pool.view.endpoints
        }
        affected = set()
        if isinstance(self._copies, BeforeSaturation):
            affected.update(self._copies.hot)
        for name, fill in fills.items():
            loaded = pool.view.endpoints[name].loaded
            if loaded and fill >= SATURATES_AT:
                affected.add(
                    max(
                        loaded,
                        key=lambda held: (self.forecast.rate_per_s(held, now_s), held),
                    )
                )
        for model in affected:
            holders = [name for name in pool.holders(model) if name in fills]
            self._copies.record_fills(model, [fills[name] for name in holders])

    def _run_housekeeping(self, view: View, now_s: float) -> None:
        if now_s - self._housekeeping_at_s < HOUSEKEEPING_INTERVAL_S:
            return
        self._housekeeping_at_s = now_s
        self._queue.remove_silent(now_s)
        self._failed.forget_old(now_s)
        for model, load in list(self._running_loads.items()):
            if now_s - load.started_at_s > LOAD_TIMEOUT_S:
                # The owner failed before it responded. Daemons repeat their demand,
                # so the load is placed on another endpoint.
                del self._running_loads[model]
        self._slots.forget_old(now_s)

    def _place(
        self, model: AdapterVersion, pool: Pool, now_s: float
    ) -> LoadPlaced | None:
        options = self._slot_options(model, pool, now_s)
        failed_endpoints = self._failed.failed_endpoints(model)
        elsewhere = [
            option for option in options if option.endpoint not in failed_endpoints
        ]
        chosen = self._slot_choice.choose(model, elsewhere or options)
        if chosen is None:
            return None
        return LoadPlaced(model, chosen.endpoint, chosen.victim, self._host)

    def _slot_options(
        self, model: AdapterVersion, pool: Pool, now_s: float
    ) -> list[SlotOption]:
        busy = {load.endpoint for load in self._running_loads.values()}
        return list(self._slots.options(model, pool, busy, now_s))
