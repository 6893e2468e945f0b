"""Orders of an endpoint's owner: loads into free slots and evictions.

Unless the endpoint checks fencing numbers, witnesses acknowledge an eviction before
it is ordered, so that a later owner learns of it.
"""

from math import inf

from knapweedbridge_core import events, messages, rendezvous
from knapweedbridge_core.actions import OrderEndpoint
from knapweedbridge_core.context import Context, Handler
from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_core.owned_endpoints import OwnedEndpoints, OwnedEndpointsSide
from knapweedbridge_core.tenure import Tenure
from knapweedbridge_core.times import WITNESS_TIMEOUT_S

WITNESS_COUNT = 2


class OrderSide(OwnedEndpointsSide):
    """Orders loads and evictions on the owned endpoints."""

    def __init__(self, context: Context, owned: OwnedEndpoints) -> None:
        super().__init__(context, owned)
        self._placements: dict[tuple[str, AdapterVersion], messages.LoadPlaced] = {}

    def handlers(self) -> dict[type, Handler]:
        """See `Side.handlers`."""
        return {
            events.Tick: self._tick,
            events.OrderEnded: self._order_ended,
            messages.LoadPlaced: self._load_placed,
            messages.SlotWanted: self._slot_wanted,
            messages.EvictionIntentAcknowledged: self._eviction_acknowledged,
        }

    def _tick(self, event: events.Tick) -> None:
        for endpoint, model in list(self._placements):
            if endpoint not in self._owned.tenures:
                self._send_load_ended(endpoint, model, False)
        for tenure in list(self._owned.tenures.values()):
            self._cancel_unwitnessed(tenure)
            self._evict_quarantined(tenure)

    def _load_placed(self, message: messages.LoadPlaced) -> None:
        endpoint, model = message.endpoint, message.model
        self._placements[endpoint, model] = message
        tenure = self._owned.tenures.get(endpoint)
        if tenure is None or not self._owned.may_load(tenure, model):
            self._send_load_ended(endpoint, model, False)
        elif model in tenure.ledger.loaded:
            self._send_load_ended(endpoint, model, True)
        elif message.victim is not None and not tenure.ledger.has_free_slot():
            if not self._evict(tenure, message.victim):
                self._send_load_ended(endpoint, model, False)
        else:
            self._begin_load(tenure, model)

    def _slot_wanted(self, message: messages.SlotWanted) -> None:
        tenure = self._owned.tenures.get(message.endpoint)
        if tenure is None or not self._evict(tenure, message.victim):
            declined = messages.SlotDeclined(message.endpoint, message.victim)
            self._context.send(self._context.sender, declined)

    def _evict(self, tenure: Tenure, victim: AdapterVersion) -> bool:
        if not tenure.ledger.may_evict(victim):
            return False
        if not self._owned.may_order_eviction(tenure):
            return False
        tenure.ledger.begin_eviction(victim)
        self._owned.publish(tenure)
        witnesses = [] if tenure.checks_fencing else self._witnesses(tenure.endpoint)
        if not witnesses:
            self._order(tenure, "evict", victim)
            return True
        tenure.announced_evictions[victim] = self._context.now_s
        intent = messages.EvictionIntent(tenure.endpoint, victim, tenure.number)
        for host in (self._context.host, *witnesses):
            self._context.send(host, intent)
        return True

    def _witnesses(self, endpoint: str) -> list[str]:
        peers = [peer.name for peer in self._context.members.peers()]
        ranked = sorted(peers, key=lambda name: rendezvous.score(endpoint, name))
        return ranked[-WITNESS_COUNT:]

    def _eviction_acknowledged(
        self, message: messages.EvictionIntentAcknowledged
    ) -> None:
        tenure = self._owned.tenures.get(message.endpoint)
        own = self._context.sender == self._context.host
        if tenure is None or own or tenure.number != message.number:
            return
        if tenure.announced_evictions.pop(message.model, None) is None:
            return
        if self._owned.may_order_eviction(tenure):
            self._order(tenure, "evict", message.model)
        else:
            self._cancel(tenure, message.model)

    def _cancel_unwitnessed(self, tenure: Tenure) -> None:
        for model, since_s in list(tenure.announced_evictions.items()):
            if self._context.now_s - since_s >= WITNESS_TIMEOUT_S:
                del tenure.announced_evictions[model]
                self._cancel(tenure, model)

    def _cancel(self, tenure: Tenure, victim: AdapterVersion) -> None:
        tenure.ledger.end_eviction(victim, False, self._context.now_s)
        self._send_eviction_finished(tenure, victim)
        for placed in self._placements_with_victim(tenure.endpoint, victim):
            self._send_load_ended(tenure.endpoint, placed.model, False)

    def _send_eviction_finished(self, tenure: Tenure, victim: AdapterVersion) -> None:
        if tenure.checks_fencing:
            return
        finished = messages.EvictionFinished(tenure.endpoint, victim, tenure.number)
        for host in (self._context.host, *self._witnesses(tenure.endpoint)):
            self._context.send(host, finished)

    def _evict_quarantined(self, tenure: Tenure) -> None:
        now_s = self._context.now_s
        quarantined = tenure.takeover.quarantined
        for model, until_s in list(quarantined.items()):
            if now_s >= until_s:
                del quarantined[model]
            else:
                self._evict(tenure, model)

    def _begin_load(self, tenure: Tenure, model: AdapterVersion) -> None:
        if tenure.ledger.begin_load(model):
            self._order(tenure, "load", model)
        else:
            self._send_load_ended(tenure.endpoint, model, False)

    def _order(self, tenure: Tenure, kind: str, model: AdapterVersion) -> None:
        entry = self._context.configuration.endpoints.get(tenure.endpoint)
        if entry is None:
            return
        weights = self._context.configuration.versions.get(model, str(model))
        expires = kind == "evict" and not tenure.checks_fencing
        not_after_s = self._owned.lease.valid_until_s if expires else inf
        self._context.emit(
            OrderEndpoint(
                entry.name,
                entry.address,
                kind,
                model,
                weights,
                tenure.number,
                not_after_s,
            )
        )
        self._context.record(f"{kind}.ordered", endpoint=entry.name, model=str(model))

    def _order_ended(self, event: events.OrderEnded) -> None:
        self._context.record(
            f"{event.kind}.ended",
            endpoint=event.endpoint,
            model=str(event.model),
            succeeded=event.succeeded,
        )
        tenure = self._owned.tenures.get(event.endpoint)
        if tenure is None:
            self._send_load_ended(event.endpoint, event.model, False)
        elif not event.known:
            self._effect_unknown(tenure, event)
        elif event.kind == "load":
            self._load_ended(tenure, event)
        else:
            self._eviction_ended(tenure, event)

    def _effect_unknown(self, tenure: Tenure, event: events.OrderEnded) -> None:
        # The order may still take effect. The adapter gets no new requests until a
        # report taken after the maximum transit time shows the outcome.
        now_s = self._context.now_s
        tenure.ledger.mark_unknown(event.model, event.kind, now_s)
        if event.kind == "evict":
            tenure.takeover.quarantine([event.model], now_s)
            for placed in self._placements_with_victim(event.endpoint, event.model):
                self._send_load_ended(event.endpoint, placed.model, False)
        else:
            self._send_load_ended(event.endpoint, event.model, False)

    def _load_ended(self, tenure: Tenure, event: events.OrderEnded) -> None:
        now_s = self._context.now_s
        tenure.ledger.end_load(event.model, event.succeeded, now_s)
        self._send_load_ended(event.endpoint, event.model, event.succeeded)
        self._owned.publish(tenure)

    def _eviction_ended(self, tenure: Tenure, event: events.OrderEnded) -> None:
        now_s = self._context.now_s
        tenure.ledger.end_eviction(event.model, event.succeeded, now_s)
        self._send_eviction_finished(tenure, event.model)
        for placed in self._placements_with_victim(event.endpoint, event.model):
            if tenure.closing:
                self._send_load_ended(event.endpoint, placed.model, False)
            else:
                self._begin_load(tenure, placed.model)
        self._owned.publish(tenure)

    def _placements_with_victim(
        self, endpoint: str, victim: AdapterVersion
    ) -> list[messages.LoadPlaced]:
        return [
            placed
            for placed in self._placements.values()
            if placed.endpoint == endpoint and placed.victim == victim
        ]

    def _send_load_ended(
        self, endpoint: str, model: AdapterVersion, loaded: bool
    ) -> None:
        placed = self._placements.pop((endpoint, model), None)
        if placed is not None:
            ended = messages.LoadEnded(model, endpoint, loaded)
            self._context.send(placed.coordinator, ended)
