"""Orders for one engine, planned by its owner: loads, and unloads that make room.

The controller counts a place as taken from the order on, and as free only when the
engine confirms it. More orders than an engine has places crash it with all its calls.
"""

import math
from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping

from knapweedbridge_core.serving.deployment import EngineLimits
from knapweedbridge_core.serving.engine_calls import EngineCalls
from knapweedbridge_core.serving.engine_orders import (
    EngineReport,
    Order,
    OrderAnswer,
    OrderKind,
)
from knapweedbridge_core.serving.engine_places import AdapterRequest, Place
from knapweedbridge_core.serving.engine_speed import EngineSpeed
from knapweedbridge_core.serving.load_times import (
    TRIAL_SEEN_S,
    WARM_LOAD_S,
    LoadTimes,
)
from knapweedbridge_core.serving.model_ref import ModelRef
from knapweedbridge_core.serving.prompt_pacing import LongPrompts
from knapweedbridge_core.serving.recent_adapters import RecentAdapters

MAX_LOADING = 4
"""Adapters that one engine may load at once; it refuses more."""

READY_MARGIN_S = 0.006
"""Added to an expected load time, so that a call sent on time doesn't arrive early."""

LATE_LOAD_S = 0.04
"""Added to a load time if a call arrived before the load's end: as long as some calls
can wait."""

LATE_LOAD_TIMEOUT_S = 1.5
"""How long after its expected end a load may still run; a call that finds no adapter
after that means that the controller's state is wrong."""

REQUEST_MAX_AGE_S = 0.7
"""How long a request for an adapter is valid; daemons that still wait repeat it each
0.25 s, and those that chose another engine don't."""

BASE_TIMEOUT_LOAD_TIMES = 4.0
"""Time before a base model's load is ordered again, in load times: concurrent loads
share the weight store's bandwidth."""

MAX_REPORT_AGE_S = 1.0
"""Age that a report may have. Engines report values that are some hundred ms old."""

STUCK_S = 0.4
"""Age of a request from which on the reason for its delay is reported."""

EVICTION_IDLE_S = 0.05
"""How long an adapter must be idle before it is unloaded: the report of a call that was
just sent there takes some milliseconds."""


class EngineController:
    """Plans the orders for one engine.

    Parameters
    ----------
    limits : EngineLimits
        Capacity of the engine.
    used_s : dict of ModelRef to float
        When each adapter was last used, by the previous owner's updates.
    recent : iterable of ModelRef
        Adapters that the engine held recently, the latest last.
    times : LoadTimes, optional
        Load times, shared by all engines that the daemon owns.

    Attributes
    ----------
    engines, loading_elsewhere : int
        Engines of the service, and adapters that others of them are loading.
    long_prompts : LongPrompts
        Rate of the prompts that pause the engine's streams.
    speed : EngineSpeed
        Ratio of the engine's times to those of its service's usual one.
    """

    def __init__(
        self,
        limits: EngineLimits,
        used_s: Mapping[ModelRef, float] | None = None,
        recent: Iterable[ModelRef] = (),
        times: LoadTimes | None = None,
    ) -> None:
        self.limits = limits
        self._used_s = dict(used_s or {})
        self.times = times or LoadTimes()
        self.sequence = 0
        self.bases: set[str] = set()
        self.places: dict[ModelRef, Place] = {}
        self._is_uncertain = True
        self.loading_elsewhere = 0
        self.engines = 1
        self._counted_s = -math.inf
        self._requests: OrderedDict[ModelRef, AdapterRequest] = OrderedDict()
        self._calls = EngineCalls()
        self._recent = RecentAdapters(recent, limits.recent_adapters)
        self._base_retry_s = 0.0
        self.long_prompts = LongPrompts()
        self.speed = EngineSpeed()

    def request_adapter(self, model: ModelRef, version: int, now_s: float) -> None:
        """Record a daemon's request for an adapter."""
        known = self._requests.get(model)
        if known is None:
            self._requests[model] = AdapterRequest(version, now_s, now_s)
            return
        known.version = max(known.version, version)
        known.again_s = now_s

    @property
    def wants(self) -> int:
        """Number of adapters that are requested."""
        return len(self._requests)

    def holds(self, model: ModelRef, version: int) -> bool:
        """Return whether an adapter of at least this version is held or loading."""
        place = self.places.get(model)
        return place is not None and place.version >= version and not place.leaving

    @property
    def wanted(self) -> Collection[ModelRef]:
        """The adapters that are requested."""
        return self._requests.keys()

    @property
    def needs_report(self) -> bool:
        """Whether only a report can show what the engine holds."""
        loading = self._base_retry_s > 0 and not self.bases
        leaving = any(place.leaving for place in self.places.values())
        return self._is_uncertain or loading or leaving

    def describe_stuck_requests(self, now_s: float) -> dict[str, int | bool] | None:
        """Return why adapters requested long ago are not loaded, or None.

        Returns
        -------
        dict
            Counts of places by the reason that keeps them from being reused.
        """
        oldest_s = min(
            (request.asked_s for request in self._requests.values()), default=now_s
        )
        if now_s - oldest_s < STUCK_S:
            return None
        places = self.places.items()
        return {
            "wants": len(self._requests),
            "places": len(self.places),
            "in_use": sum(self.users(model) > 0 for model, _ in places),
            "coming": sum(place.ready_s > now_s for _, place in places),
            "leaving": sum(place.leaving for _, place in places),
            "wanted_too": sum(model in self._requests for model, _ in places),
            "unsure": self._is_uncertain,
        }

    def record_calls(
        self, daemon: str, calls: dict[ModelRef, int], unread_tokens: int, now_s: float
    ) -> None:
        """Replace the calls of one daemon on this engine."""
        for model in self._calls.take(daemon, calls, unread_tokens, now_s):
            if model in self.places:
                self.places[model].used_s = now_s
                self._record_trial(self.places[model], calls.get(model, 0), now_s)

    def _record_trial(self, place: Place, users: int, now_s: float) -> None:
        if place.tried_at_once and users and now_s >= place.ready_s + TRIAL_SEEN_S:
            self.times.record_trial_success(place.tried_at_once)
            place.tried_at_once = 0.0

    def forget_silent(self, now_s: float) -> None:
        """Remove the calls of daemons that no longer report any."""
        self._calls.forget_silent(now_s)

    def forget_daemon(self, daemon: str) -> None:
        """Remove the calls of a daemon that is gone."""
        self._calls.forget(daemon)

    def users(self, model: ModelRef) -> int:
        """Return the number of calls that run on an adapter."""
        return self._calls.users(model)

    def load_by_daemon(self) -> dict[str, tuple[int, int]]:
        """Return the numbers of calls and unread tokens, by daemon."""
        return self._calls.load_by_daemon()

    def places_free(self, now_s: float) -> int:
        """Return the number of places that a new adapter could get at once."""
        taken = sum(
            place.leaving or place.ready_s > now_s or self.users(model) > 0
            for model, place in self.places.items()
        )
        return max(0, self.limits.adapter_places - taken)

    def apply_report(self, report: EngineReport, now_s: float) -> bool:
        """Apply a report that was requested after the last order's answer.

        A report that counts fewer orders than were accepted may predate them and would
        show places as free that are taken, so it is ignored for as long as reports may
        be old. After that the engine has not counted an order whose outcome already
        held, and only the report shows which order it expects next.

        Returns
        -------
        is_applied : bool
            Whether the report was applied.
        """
        may_predate = now_s - self._counted_s < MAX_REPORT_AGE_S
        if report.sequence < self.sequence and may_predate:
            return False
        self.sequence = report.sequence
        self.bases = set(report.bases)
        shown = {**report.adapters, **report.coming}
        for model in [model for model in self.places if model not in shown]:
            self._drop(model)
        for model, version in shown.items():
            self._apply_reported(model, version, model in report.coming, now_s)
        self._is_uncertain = False
        return True

    def _apply_reported(
        self, model: ModelRef, version: int, coming: bool, now_s: float
    ) -> None:
        place = self.places.get(model)
        if place is None:
            used_s = self._used_s.get(model, now_s)
            place = self.places[model] = Place(version, now_s, used_s)
            if coming:
                place.ready_s = now_s + self.times.cold_s
            return
        place.version = max(place.version, version)

    def next_order(self, now_s: float) -> Order | None:
        """Return the next order, or None if none is due."""
        if self._is_uncertain:
            return None
        missing = self._missing_base(now_s)
        if missing is not None:
            return self._order(OrderKind.LOAD, missing, 0)
        coming = sum(place.ready_s > now_s for place in self.places.values())
        for model, request in list(self._requests.items()):
            if self._is_settled(model, request, now_s):
                del self._requests[model]
                continue
            if coming >= MAX_LOADING or model.base not in self.bases:
                continue
            order = self._order_toward(model, request, now_s)
            if order is not None:
                return order
        return None

    def _missing_base(self, now_s: float) -> ModelRef | None:
        # A restarted engine is empty and serves nothing until it holds a base model.
        if self.bases or now_s < self._base_retry_s:
            return None
        loadable = [
            model
            for model in self.limits.models.values()
            if model.weights_mb <= self.limits.weights_mb
        ]
        return ModelRef(loadable[0].name) if loadable else None

    def _is_settled(
        self, model: ModelRef, request: AdapterRequest, now_s: float
    ) -> bool:
        return (
            self.holds(model, request.version)
            or now_s - request.again_s > REQUEST_MAX_AGE_S
        )

    def _order_toward(
        self, model: ModelRef, request: AdapterRequest, now_s: float
    ) -> Order | None:
        place = self.places.get(model)
        if place is not None:
            # The engine holds an older version. A replacement waits for its calls and
            # refuses new ones meanwhile, so it is ordered only when none runs.
            if place.leaving or self.users(model):
                return None
            return self._order(OrderKind.LOAD, model, request.version)
        if len(self.places) < self.limits.adapter_places:
            return self._order(OrderKind.LOAD, model, request.version)
        victim = self._eviction_candidate(now_s)
        if victim is None:
            return None
        return self._order(OrderKind.UNLOAD, victim, 0)

    def _eviction_candidate(self, now_s: float) -> ModelRef | None:
        unused = [
            (place.used_s, str(model), model)
            for model, place in self.places.items()
            if not place.leaving
            and place.ready_s <= now_s
            and now_s - place.used_s >= EVICTION_IDLE_S
            and not self.users(model)
            and model not in self._requests
        ]
        return min(unused)[2] if unused else None

    def _order(self, kind: OrderKind, model: ModelRef, version: int) -> Order:
        return Order(kind, model, version, self.sequence)

    def answered(self, order: Order, answer: OrderAnswer, now_s: float) -> None:
        """Apply an engine's answer to an order."""
        if answer in (OrderAnswer.STARTED, OrderAnswer.DONE):
            self.sequence += 1
            self._counted_s = now_s
            self._apply_accepted(order, answer, now_s)
        elif answer is not OrderAnswer.UNKNOWN:
            self._is_uncertain = True
        # An order without an answer may still be executed at any time. The next order
        # has the same sequence number: if it is accepted, the engine will refuse this
        # one; if it is refused, this one was executed, and a report shows the result.

    def _apply_accepted(self, order: Order, answer: OrderAnswer, now_s: float) -> None:
        if not order.model.adapter:
            if order.kind is OrderKind.LOAD:
                load_s = self.limits.models[order.model.base].load_s
                self._base_retry_s = now_s + BASE_TIMEOUT_LOAD_TIMES * load_s
            self._is_uncertain = True
            return
        if order.kind is OrderKind.UNLOAD:
            if answer is OrderAnswer.DONE:
                self._drop(order.model)
            elif order.model in self.places:
                self.places[order.model].leaving = True
            return
        self._requests.pop(order.model, None)
        self.places[order.model] = self._start_load(order, answer, now_s)
        self._recent.discard(order.model)

    def _start_load(self, order: Order, answer: OrderAnswer, now_s: float) -> Place:
        if answer is OrderAnswer.DONE:
            return Place(order.version, now_s, now_s)
        if order.model in self._recent:
            return Place(order.version, now_s + WARM_LOAD_S + READY_MARGIN_S, now_s)
        coming = 1 + self.loading_elsewhere
        coming += sum(place.ready_s > now_s for place in self.places.values())
        plan = self.times.plan(coming, self.engines, now_s)
        ready_s = now_s + plan.load_s + READY_MARGIN_S
        alone = coming <= self.times.full_speed(self.engines)
        fetched_s = now_s if alone else None
        return Place(
            order.version, ready_s, now_s, fetched_s, tried_at_once=plan.at_once
        )

    def _drop(self, model: ModelRef) -> None:
        # A report may have removed it already.
        self.places.pop(model, None)
        self._recent.add(model)

    def missed(self, model: ModelRef, now_s: float) -> None:
        """Record that the engine refused a call on an adapter it should hold."""
        place = self.places.get(model)
        if place is None:
            return
        if place.tried_at_once:
            self.times.record_trial_failure(now_s)
            place.tried_at_once = 0.0
        if place.fetched_s is not None:
            self.times.record_slow_load(now_s - place.fetched_s)
        if place.ready_s > now_s:
            return
        # Measured from the first expected end: each miss postpones ``ready_s``, so
        # calls would wait forever for an adapter that never loads.
        if now_s - place.due_s < LATE_LOAD_TIMEOUT_S:
            place.ready_s = now_s + LATE_LOAD_S
        else:
            self._is_uncertain = True
