"""What the owner of one engine orders of it: loads, and unloads that make room.

The keeper counts each place as taken from the order on, and as free only when the
engine proves it. Ordering more than an engine's places crashes it with all its runs.
"""

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

COMING_MOST = 4
"""Adapters that may be on their way to one engine at once; the engine refuses more."""

READY_MARGIN_S = 0.006
"""Added to an expected load, so that a call sent on time does not arrive before it."""

LATE_LOAD_S = 0.04
"""Added to a load's time where a call came before its end: some calls' patience."""

LATE_LOAD_LIFE_S = 1.5
"""How long after its expected end a load may still be under way; past that a call
that finds no adapter means that the keeper is wrong."""

WANT_LIFE_S = 0.7
"""How long a wish for an adapter stands; daemons that still wait ask again each
0.25 s, and those that went to another engine do not."""

BASE_PATIENCE = 4.0
"""How long a base model's load may take before it is ordered again, in load times:
several loads at once share the weight store's speed."""

STUCK_S = 0.4
"""Age of a wish from which on it is told why it is not met."""

VICTIM_REST_S = 0.05
"""How long an adapter must be unused before it is unloaded: word of a call that was
just sent there takes some milliseconds."""


class EngineController:
    """Plans the orders for one engine.

    Parameters
    ----------
    limits : EngineLimits
        What the engine can hold.
    used_s : dict of ModelRef to float
        When each adapter was last used, as the owner before told.
    recent : iterable of ModelRef
        Adapters that the engine held lately, the latest last.
    times : LoadTimes, optional
        What is known of loads, for all engines that the daemon owns.

    Attributes
    ----------
    engines, loading_elsewhere : int
        Engines of the service, and adapters on their way to others of them.
    long_prompts : LongPrompts
        Counts the prompts that pause the engine's streams.
    speed : EngineSpeed
        How long the engine takes, in times of its service's usual one.
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
        self._unsure = True
        self.loading_elsewhere = 0
        self.engines = 1
        self._wants: OrderedDict[ModelRef, AdapterRequest] = OrderedDict()
        self._calls = EngineCalls()
        self._recent = RecentAdapters(recent, limits.recent_adapters)
        self._base_due_s = 0.0
        self.long_prompts = LongPrompts()
        self.speed = EngineSpeed()

    def request_adapter(self, model: ModelRef, version: int, now_s: float) -> None:
        """Take a daemon's wish for an adapter."""
        known = self._wants.get(model)
        if known is None:
            self._wants[model] = AdapterRequest(version, now_s, now_s)
            return
        known.version = max(known.version, version)
        known.again_s = now_s

    @property
    def wants(self) -> int:
        """How many adapters are waited for."""
        return len(self._wants)

    def holds(self, model: ModelRef, version: int) -> bool:
        """Tell whether an adapter is there or on its way, in a version or a newer."""
        place = self.places.get(model)
        return place is not None and place.version >= version and not place.leaving

    @property
    def wanted(self) -> Collection[ModelRef]:
        """The adapters that are waited for."""
        return self._wants.keys()

    @property
    def needs_report(self) -> bool:
        """Whether only a report can tell what the engine holds, or still holds."""
        loading = self._base_due_s > 0 and not self.bases
        leaving = any(place.leaving for place in self.places.values())
        return self._unsure or loading or leaving

    def describe_stuck_requests(self, now_s: float) -> dict[str, int | bool] | None:
        """Tell why adapters that are wanted for long are not loaded, or None.

        Returns
        -------
        dict
            Counts of places by what keeps them from being given away.
        """
        oldest_s = min(
            (request_adapter.asked_s for request_adapter in self._wants.values()),
            default=now_s,
        )
        if now_s - oldest_s < STUCK_S:
            return None
        places = self.places.items()
        return {
            "wants": len(self._wants),
            "places": len(self.places),
            "in_use": sum(self.users(model) > 0 for model, _ in places),
            "coming": sum(place.ready_s > now_s for _, place in places),
            "leaving": sum(place.leaving for _, place in places),
            "wanted_too": sum(model in self._wants for model, _ in places),
            "unsure": self._unsure,
        }

    def record_calls(
        self, daemon: str, calls: dict[ModelRef, int], unread_tokens: int, now_s: float
    ) -> None:
        """Take all calls of one daemon on this engine."""
        for model in self._calls.take(daemon, calls, unread_tokens, now_s):
            if model in self.places:
                self.places[model].used_s = now_s
                self._note_trial(self.places[model], calls.get(model, 0), now_s)

    def _note_trial(self, place: Place, users: int, now_s: float) -> None:
        if place.tried_at_once and users and now_s >= place.ready_s + TRIAL_SEEN_S:
            self.times.record_trial_success(place.tried_at_once)
            place.tried_at_once = 0.0

    def forget_silent(self, now_s: float) -> None:
        """Drop the calls of daemons that tell of them no more."""
        self._calls.forget_silent(now_s)

    def forget_daemon(self, daemon: str) -> None:
        """Drop the calls of a daemon that is gone."""
        self._calls.forget(daemon)

    def users(self, model: ModelRef) -> int:
        """Return the calls that run on an adapter."""
        return self._calls.users(model)

    def load_by_daemon(self) -> dict[str, tuple[int, int]]:
        """Return calls and unread tokens, by daemon."""
        return self._calls.load_by_daemon()

    def places_free(self, now_s: float) -> int:
        """Return the places that a new adapter could get at once."""
        taken = sum(
            place.leaving or place.ready_s > now_s or self.users(model) > 0
            for model, place in self.places.items()
        )
        return max(0, self.limits.adapter_places - taken)

    def apply_report(self, report: EngineReport, now_s: float) -> None:
        """Take a report that was asked for after the last order's answer.

        A report that counts fewer orders than were accepted is from before them:
        it would show places as free that are taken, so it is not used.
        """
        if report.sequence < self.sequence:
            return
        self.sequence = report.sequence
        self.bases = set(report.bases)
        shown = {**report.adapters, **report.coming}
        for model in [model for model in self.places if model not in shown]:
            self._drop(model)
        for model, version in shown.items():
            self._show(model, version, model in report.coming, now_s)
        self._unsure = False

    def _show(self, model: ModelRef, version: int, coming: bool, now_s: float) -> None:
        place = self.places.get(model)
        if place is None:
            used_s = self._used_s.get(model, now_s)
            place = self.places[model] = Place(version, now_s, used_s)
            if coming:
                place.ready_s = now_s + self.times.cold_s
            return
        place.version = max(place.version, version)

    def next_order(self, now_s: float) -> Order | None:
        """Return the next order, or None where none is due."""
        if self._unsure:
            return None
        missing = self._missing_base(now_s)
        if missing is not None:
            return self._order(OrderKind.LOAD, missing, 0)
        coming = sum(place.ready_s > now_s for place in self.places.values())
        for model, request_adapter in list(self._wants.items()):
            if self._is_over(model, request_adapter, now_s):
                del self._wants[model]
                continue
            if coming >= COMING_MOST or model.base not in self.bases:
                continue
            order = self._order_toward(model, request_adapter, now_s)
            if order is not None:
                return order
        return None

    def _missing_base(self, now_s: float) -> ModelRef | None:
        # A restarted engine is empty; until it holds a base it serves nothing.
        if self.bases or now_s < self._base_due_s:
            return None
        fitting = [
            model
            for model in self.limits.models.values()
            if model.weights_mb <= self.limits.weights_mb
        ]
        return ModelRef(fitting[0].name) if fitting else None

    def _is_over(
        self, model: ModelRef, request_adapter: AdapterRequest, now_s: float
    ) -> bool:
        return (
            self.holds(model, request_adapter.version)
            or now_s - request_adapter.again_s > WANT_LIFE_S
        )

    def _order_toward(
        self, model: ModelRef, request_adapter: AdapterRequest, now_s: float
    ) -> Order | None:
        place = self.places.get(model)
        if place is not None:
            # An older version: a replacement waits for its runs and refuses new
            # calls meanwhile, so it is ordered only when none runs.
            if place.leaving or self.users(model):
                return None
            return self._order(OrderKind.LOAD, model, request_adapter.version)
        if len(self.places) < self.limits.adapter_places:
            return self._order(OrderKind.LOAD, model, request_adapter.version)
        victim = self._victim(now_s)
        if victim is None:
            return None
        return self._order(OrderKind.UNLOAD, victim, 0)

    def _victim(self, now_s: float) -> ModelRef | None:
        unused = [
            (place.used_s, str(model), model)
            for model, place in self.places.items()
            if not place.leaving
            and place.ready_s <= now_s
            and now_s - place.used_s >= VICTIM_REST_S
            and not self.users(model)
            and model not in self._wants
        ]
        return min(unused)[2] if unused else None

    def _order(self, kind: OrderKind, model: ModelRef, version: int) -> Order:
        return Order(kind, model, version, self.sequence)

    def answered(self, order: Order, answer: OrderAnswer, now_s: float) -> None:
        """Take an engine's answer to an order."""
        if answer in (OrderAnswer.STARTED, OrderAnswer.DONE):
            self.sequence += 1
            self._accepted(order, answer, now_s)
        elif answer is not OrderAnswer.UNKNOWN:
            self._unsure = True
        # An order without an answer may be carried out yet, at any time. The next is
        # sent with the same sequence: accepted, it voids this one for good; refused,
        # it shows that this one was carried out, and a report tells what holds.

    def _accepted(self, order: Order, answer: OrderAnswer, now_s: float) -> None:
        if not order.model.adapter:
            if order.kind is OrderKind.LOAD:
                load_s = self.limits.models[order.model.base].load_s
                self._base_due_s = now_s + BASE_PATIENCE * load_s
            self._unsure = True
            return
        if order.kind is OrderKind.UNLOAD:
            if answer is OrderAnswer.DONE:
                self._drop(order.model)
            elif order.model in self.places:
                self.places[order.model].leaving = True
            return
        self._wants.pop(order.model, None)
        self.places[order.model] = self._loading(order, answer, now_s)
        self._recent.discard(order.model)

    def _loading(self, order: Order, answer: OrderAnswer, now_s: float) -> Place:
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
        # A report may have shown meanwhile that it is gone.
        self.places.pop(model, None)
        self._recent.add(model)

    def missed(self, model: ModelRef, now_s: float) -> None:
        """Take that the engine refused a call on an adapter it should hold."""
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
        # From when it was expected at first: each miss puts ``ready_s`` off, and an
        # adapter that never comes would be waited for as long as calls ask for it.
        if now_s - place.due_s < LATE_LOAD_LIFE_S:
            place.ready_s = now_s + LATE_LOAD_S
        else:
            self._unsure = True
