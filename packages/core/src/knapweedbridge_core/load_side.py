"""Coordinates loads: receives the demand of daemons and places loads with owners."""

from knapweedbridge_core import events, messages
from knapweedbridge_core.context import Context, Handler, Side
from knapweedbridge_core.forecast import ChangeAware
from knapweedbridge_core.load_queue import DaemonDemand
from knapweedbridge_core.load_rate import share_of_rate
from knapweedbridge_core.loads import LoadOrder, Pool, Refusal
from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_core.outcomes import Reason

LOAD_ORDER_ROLE = "load-order"


def load_order_coordinator(context: Context) -> str | None:
    """Return the daemon that coordinates the loads of the pool."""
    return context.members.choose(LOAD_ORDER_ROLE)


class LoadSide(Side):
    """Receives the demand of all daemons, and places loads with owners.

    Daemons repeat their demand, so the queue is rebuilt by another daemon if the
    coordinator fails.
    """

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        self._policy = context.configuration.placement
        self.load_order = LoadOrder(context.host, self._policy)
        self._is_starting = False

    def handlers(self) -> dict[type, Handler]:
        """See `Side.handlers`."""
        return {
            events.Tick: self._tick,
            events.OrderEnded: self._order_ended,
            messages.LoadWanted: self._load_wanted,
            messages.LoadEnded: self._load_ended,
            messages.LoadFailed: self._load_failed,
            messages.SlotDeclined: self._slot_declined,
            messages.UsageReport: self._uses_reported,
            messages.CountsReport: self._counts_reported,
        }

    def _tick(self, event: events.Tick) -> None:
        self._apply_policy()
        if load_order_coordinator(self._context) != self._context.host:
            return
        self.load_order.record_batch_fill(self._pool(), self._context.now_s)
        self._refuse_suspended()
        self._start_loads()

    def _apply_policy(self) -> None:
        policy = self._context.configuration.placement
        if policy == self._policy:
            return
        same = policy.forecast == self._policy.forecast
        forecast = self.load_order.forecast if same else None
        self._policy = policy
        self.load_order = LoadOrder(self._context.host, policy, forecast)

    def _pool(self) -> Pool:
        members = self._context.members
        reachable = 1 + len(members.peers())
        known = 1 + len(members.known())
        allowed_per_s = self._context.configuration.loads_per_s
        return Pool(
            self._context.engines(),
            self._context.view,
            self._base_model_of,
            share_of_rate(allowed_per_s, reachable, known),
        )

    def _base_model_of(self, model: AdapterVersion) -> str | None:
        adapter = self._context.configuration.adapters.get(model.adapter)
        return adapter.base_model if adapter is not None else None

    def _load_wanted(self, message: messages.LoadWanted) -> None:
        if message.model not in self._context.configuration.versions:
            return
        now_s = self._context.now_s
        demand = DaemonDemand(
            message.waiters,
            now_s - message.oldest_wait_s,
            now_s + message.shortest_left_s,
            now_s + message.longest_left_s,
            now_s,
        )
        sender = self._context.sender
        refusal = self.load_order.wanted(message.model, sender, demand, self._pool())
        if refusal is not None:
            self._refuse(sender, refusal)
        self._start_loads()

    def _load_ended(self, message: messages.LoadEnded) -> None:
        if message.loaded:
            self.load_order.loaded(message.model, self._context.now_s)
        else:
            # A failed load was reported by LoadFailed before, so this one was
            # not started.
            loads_per_s = self._context.configuration.loads_per_s
            self.load_order.record_declined(
                message.model, loads_per_s, self._context.now_s
            )
        self._start_loads()

    def _order_ended(self, event: events.OrderEnded) -> None:
        # This daemon is the owner. LoadFailed must be sent before LoadEnded.
        coordinator = load_order_coordinator(self._context)
        if event.kind == "load" and not event.succeeded and coordinator is not None:
            failed = messages.LoadFailed(event.model, event.endpoint)
            self._context.send(coordinator, failed)

    def _load_failed(self, message: messages.LoadFailed) -> None:
        self.load_order.failed(message.model, message.endpoint, self._context.now_s)
        self._refuse_suspended()

    def _uses_reported(self, message: messages.UsageReport) -> None:
        for model, count in message.uses:
            self.load_order.used(model, count, self._context.now_s)

    def _counts_reported(self, message: messages.CountsReport) -> None:
        forecast = self.load_order.forecast
        if isinstance(forecast, ChangeAware):
            counts = [(model, count) for model, count in message.counts]
            forecast.learn(counts, message.age_s, self._context.now_s)

    def _refuse_suspended(self) -> None:
        for host, refusal in self.load_order.suspended_refusals(self._context.now_s):
            self._refuse(host, refusal)

    def _refuse(self, host: str, refusal: Refusal) -> None:
        reason = Reason.NOT_LOADED if refusal.fails else Reason.OVERLOAD
        self._context.record(
            "load.refused", model=str(refusal.model), reason=str(reason), to=host
        )
        refused = messages.LoadRefused(
            refusal.model, str(reason), refusal.ready_in_s, refusal.retry_after_s
        )
        self._context.send(host, refused)

    def _start_loads(self) -> None:
        # If two daemons placed loads, they would use the rate twice.
        if (
            load_order_coordinator(self._context) != self._context.host
            or self._is_starting
        ):
            return
        self._is_starting = True
        pool = self._pool()
        try:
            while placed := self.load_order.next_load(pool, self._context.now_s):
                self._place_load(placed)
            self._request_slot(pool)
        finally:
            self._is_starting = False

    def _request_slot(self, pool: Pool) -> None:
        wanted = self.load_order.next_slot(pool, self._context.now_s)
        if wanted is not None:
            owner = self._context.view.endpoints[wanted.endpoint].owner
            self._context.send(owner, wanted)

    def _slot_declined(self, message: messages.SlotDeclined) -> None:
        self.load_order.record_slot_declined(
            message.endpoint, message.victim, self._context.now_s
        )
        self._start_loads()

    def _place_load(self, placed: messages.LoadPlaced) -> None:
        owner = self._context.view.endpoints[placed.endpoint].owner
        self._context.record(
            "load.placed",
            model=str(placed.model),
            endpoint=placed.endpoint,
            victim=str(placed.victim or ""),
            to=owner,
        )
        # If this daemon is the owner, the response is handled within this call.
        self._context.send(owner, placed)
