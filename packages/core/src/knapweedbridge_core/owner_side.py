"""The owner: claims endpoints, gives grants, orders loads and evictions."""

from knapweedbridge_core import events, messages
from knapweedbridge_core.actions import AskReport, OrderEndpoint, SendPeer
from knapweedbridge_core.context import Context, Handler, Side
from knapweedbridge_core.ledger import Ledger
from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_core.outcomes import Reason
from knapweedbridge_core.owners import Owners


class OwnerSide(Side):
    """Owns the ledgers of the endpoints that this daemon owns."""

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        self.owners = Owners(context.host, context.members)
        self.ledgers: dict[str, Ledger] = {}
        self._placed: dict[tuple[str, AdapterVersion], messages.LoadPlaced] = {}

    def handlers(self) -> dict[type, Handler]:
        """See `Side.handlers`."""
        return {
            events.Tick: self._tick,
            events.StoreReplied: self._store_replied,
            events.EndpointReported: self._endpoint_reported,
            events.OrderEnded: self._order_ended,
            messages.GrantAsk: self._grant_ask,
            messages.GrantReturned: self._grant_returned,
            messages.LoadPlaced: self._load_placed,
        }

    def _tick(self, event: events.Tick) -> None:
        for action in self.owners.tick(self._context.engines(), self._context.now_s):
            self._context.do(action)
        for name in list(self.ledgers):
            if self.owners.number(name) is None:
                del self.ledgers[name]
                self._context.record("owner.released", endpoint=name)
        for name in self.ledgers:
            self._publish(name)

    def _store_replied(self, event: events.StoreReplied) -> None:
        actions, endpoint = self.owners.replied(event)
        for action in actions:
            self._context.do(action)
        if endpoint is not None and endpoint in self._context.configuration.endpoints:
            entry = self._context.configuration.endpoints[endpoint]
            self._context.do(AskReport(endpoint, entry.address))

    def _endpoint_reported(self, event: events.EndpointReported) -> None:
        entry = self._context.configuration.endpoints.get(event.endpoint)
        if entry is None or self.owners.number(event.endpoint) is None:
            return
        ledger = self.ledgers.setdefault(event.endpoint, Ledger(entry.slots))
        ledger.reported(event.loaded)
        self._publish(event.endpoint)

    def _publish(self, endpoint: str) -> None:
        number = self.owners.number(endpoint)
        ledger = self.ledgers.get(endpoint)
        if number is None or ledger is None:
            return
        message = messages.SlotsChanged(
            endpoint, self._context.host, number, ledger.loaded, ledger.running
        )
        for peer in self._context.members.peers():
            self._context.do(SendPeer(peer.name, message))
        self._context.receive(self._context.host, message)

    def _grant_ask(self, message: messages.GrantAsk) -> None:
        ledger = self.ledgers.get(message.endpoint)
        sender = self._context.sender
        if ledger and ledger.grant(message.model, message.attempt_id, sender):
            self._record_grant("grant.given", message)
            given = messages.GrantGiven(message.attempt_id, message.endpoint)
            self._context.send(sender, given)
            return
        self._record_grant("grant.refused", message)
        refused = messages.GrantRefused(
            message.attempt_id, message.endpoint, Reason.NOT_LOADED
        )
        self._context.send(sender, refused)

    def _record_grant(self, kind: str, asked: messages.GrantAsk) -> None:
        self._context.record(
            kind,
            attempt=asked.attempt_id,
            endpoint=asked.endpoint,
            model=str(asked.model),
            to=self._context.sender,
        )

    def _grant_returned(self, message: messages.GrantReturned) -> None:
        ledger = self.ledgers.get(message.endpoint)
        if ledger is not None:
            ledger.release(message.model, message.attempt_id)

    def _load_placed(self, message: messages.LoadPlaced) -> None:
        self._placed[message.endpoint, message.model] = message
        ledger = self.ledgers.get(message.endpoint)
        if ledger is None:
            self._load_over(message.endpoint, message.model, False)
        elif message.victim is not None and not ledger.has_free_slot():
            self._evict(message, message.victim, ledger)
        else:
            self._begin_load(message.endpoint, message.model, ledger)

    def _evict(
        self, message: messages.LoadPlaced, victim: AdapterVersion, ledger: Ledger
    ) -> None:
        if not ledger.may_evict(victim):
            self._load_over(message.endpoint, message.model, False)
            return
        ledger.begin_eviction(victim)
        self._publish(message.endpoint)
        self._order(message.endpoint, "evict", victim)

    def _begin_load(self, endpoint: str, model: AdapterVersion, ledger: Ledger) -> None:
        if ledger.begin_load(model):
            self._order(endpoint, "load", model)
        else:
            self._load_over(endpoint, model, False)

    def _order(self, endpoint: str, kind: str, model: AdapterVersion) -> None:
        number = self.owners.number(endpoint)
        entry = self._context.configuration.endpoints.get(endpoint)
        if number is None or entry is None:
            return
        weights = self._context.configuration.versions.get(model, str(model))
        self._context.do(
            OrderEndpoint(endpoint, entry.address, kind, model, weights, number)
        )
        self._context.record(f"{kind}.ordered", endpoint=endpoint, model=str(model))

    def _order_ended(self, event: events.OrderEnded) -> None:
        self._context.record(
            f"{event.kind}.ended",
            endpoint=event.endpoint,
            model=str(event.model),
            succeeded=event.succeeded,
        )
        ledger = self.ledgers.get(event.endpoint)
        if ledger is None:
            return
        if event.kind == "load":
            ledger.end_load(event.model, event.succeeded)
            self._load_over(event.endpoint, event.model, event.succeeded)
        else:
            ledger.end_eviction(event.model, event.succeeded)
            self._load_after_eviction(event.endpoint, event.model, ledger)
        self._publish(event.endpoint)

    def _load_after_eviction(
        self, endpoint: str, victim: AdapterVersion, ledger: Ledger
    ) -> None:
        for placed in list(self._placed.values()):
            if placed.endpoint == endpoint and placed.victim == victim:
                self._begin_load(endpoint, placed.model, ledger)

    def _load_over(self, endpoint: str, model: AdapterVersion, loaded: bool) -> None:
        placed = self._placed.pop((endpoint, model), None)
        if placed is not None:
            ended = messages.LoadEnded(model, endpoint, loaded)
            self._context.send(placed.orderer, ended)
