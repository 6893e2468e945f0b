"""The central object: one daemon's decisions, without input or output."""

from collections.abc import Callable
from typing import Any

from knapweedbridge_core import events, messages, rendezvous
from knapweedbridge_core.actions import (
    Action,
    AskReport,
    Count,
    Dispatch,
    Finish,
    OrderEndpoint,
    Record,
    SendPeer,
)
from knapweedbridge_core.configuration import Configuration, EndpointEntry
from knapweedbridge_core.ledger import Ledger
from knapweedbridge_core.loads import LoadOrder
from knapweedbridge_core.members import Members
from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_core.outcomes import Complete, NotRun, Outcome, Reason, Unknown
from knapweedbridge_core.owners import Owners
from knapweedbridge_core.requests import LiveRequest, may_retry
from knapweedbridge_core.view import View

WANT_AGAIN_S = 1.0
GRANT_TIMEOUT_S = 1.0
RETRY_AFTER_S = 1.0


class Bridge:
    """All decisions of one daemon.

    Parameters
    ----------
    host, data_centre : str
        Who this daemon is and where it stands.
    incarnation : int
        Number that rises with each start of the host.
    """

    def __init__(self, host: str, data_centre: str, incarnation: int = 1) -> None:
        self.host = host
        self.incarnation = incarnation
        self.configuration = Configuration()
        self.members = Members(host, data_centre)
        self.owners = Owners(host, self.members)
        self.ledgers: dict[str, Ledger] = {}
        self.view = View()
        self.load_order = LoadOrder(host)
        self.live: dict[str, LiveRequest] = {}
        self._leaving: set[str] = set()
        self._wanted_at_s: dict[AdapterVersion, float] = {}
        self._placed: dict[tuple[str, AdapterVersion], messages.LoadPlaced] = {}
        self._actions: list[Action] = []
        self._now_s = 0.0
        self._handlers: dict[type, Callable[[Any], None]] = {
            events.Tick: self._tick,
            events.DrainBegan: self._drain_began,
            events.ConfigurationRead: self._configuration_read,
            events.HostsListed: self._hosts_listed,
            events.PeerLinked: self._peer_linked,
            events.PeerUnlinked: self._peer_unlinked,
            events.PeerHeard: self._peer_heard,
            events.RequestArrived: self._request_arrived,
            events.AttemptEnded: self._attempt_ended,
            events.CallerLeft: self._caller_left,
            events.OrderEnded: self._order_ended,
            events.EndpointReported: self._endpoint_reported,
            events.StoreReplied: self._store_replied,
            messages.Heartbeat: self._heartbeat,
            messages.GrantAsk: self._grant_ask,
            messages.GrantGiven: self._grant_given,
            messages.GrantRefused: self._grant_refused,
            messages.GrantReturned: self._grant_returned,
            messages.LoadWanted: self._load_wanted,
            messages.LoadPlaced: self._load_placed,
            messages.LoadEnded: self._load_ended,
            messages.SlotsChanged: self._slots_changed,
        }
        self._sender = host

    def handle(self, event: Any, now_s: float) -> list[Action]:
        """Take one event at one time and return what is to be done.

        Parameters
        ----------
        event : one of `knapweedbridge_core.events`
            What happened.
        now_s : float
            The daemon's monotonic clock, in seconds.
        """
        self._now_s = now_s
        self._actions = []
        self._handlers[type(event)](event)
        return self._actions

    def _do(self, action: Action) -> None:
        self._actions.append(action)

    def _send(self, host: str, message: Any) -> None:
        if host == self.host:
            self._receive(self.host, message)
        else:
            self._do(SendPeer(host, message))

    def _receive(self, sender: str, message: Any) -> None:
        outer, self._sender = self._sender, sender
        self._handlers[type(message)](message)
        self._sender = outer

    def _record(self, kind: str, **fields: Any) -> None:
        self._do(Record(kind, fields))

    # Time, configuration, membership

    def _tick(self, event: events.Tick) -> None:
        self._expire_requests()
        engines = self._engines()
        for action in self.owners.tick(engines, self._now_s):
            self._do(action)
        for name in list(self.ledgers):
            if self.owners.number(name) is None:
                del self.ledgers[name]
                self._record("owner.released", endpoint=name)
        for name in self.ledgers:
            self._publish(name)
        heartbeat = messages.Heartbeat(
            self.host,
            self.incarnation,
            self.configuration.generation,
            self.members.draining,
        )
        for peer in self.members.peers():
            self._do(SendPeer(peer.name, heartbeat))
        self._start_loads()
        self._retry_waiting()

    def _drain_began(self, event: events.DrainBegan) -> None:
        self.members.draining = True
        self._record("daemon.draining")

    def _configuration_read(self, event: events.ConfigurationRead) -> None:
        if event.configuration.generation > self.configuration.generation:
            self.configuration = event.configuration
            self._record(
                "configuration.in_force", generation=self.configuration.generation
            )

    def _hosts_listed(self, event: events.HostsListed) -> None:
        self.members.listed(event.hosts)
        self._leaving = {
            host.name
            for host in event.hosts
            if host.kind == "endpoint" and host.leaving
        }

    def _peer_linked(self, event: events.PeerLinked) -> None:
        self.members.linked(event.host, True)
        self._record("peer.linked", peer=event.host)

    def _peer_unlinked(self, event: events.PeerUnlinked) -> None:
        self.members.linked(event.host, False)
        self._record("peer.unlinked", peer=event.host)

    def _peer_heard(self, event: events.PeerHeard) -> None:
        self._receive(event.host, event.message)

    def _heartbeat(self, message: messages.Heartbeat) -> None:
        self.members.heard(message)

    def _engines(self) -> list[EndpointEntry]:
        return [
            entry
            for entry in self.configuration.endpoints.values()
            if entry.kind == "engine" and entry.name not in self._leaving
        ]

    # The callers' side

    def _request_arrived(self, event: events.RequestArrived) -> None:
        request = event.request
        self.live[request.request_id] = LiveRequest(request)
        self._record("request.arrived", request=request.request_id)
        if self.members.draining:
            outcome = NotRun(Reason.DRAINING, RETRY_AFTER_S)
            self._finish(request.request_id, outcome)
            return
        self._route(self.live[request.request_id])

    def _route(self, live: LiveRequest) -> None:
        if live.request.service:
            self._route_service(live)
        else:
            self._route_model(live)

    def _route_service(self, live: LiveRequest) -> None:
        names = [
            entry.name
            for entry in self.configuration.endpoints.values()
            if entry.service == live.request.service
            and entry.name not in self._leaving
            and entry.name not in live.tried
        ]
        name = rendezvous.choose(live.request.request_id, names)
        if name is None:
            outcome = NotRun(Reason.NO_ENDPOINT, RETRY_AFTER_S)
            self._finish(live.request.request_id, outcome)
            return
        live.next_attempt(name)
        self._dispatch(live)

    def _route_model(self, live: LiveRequest) -> None:
        model = live.request.model
        assert model is not None
        holders = [
            name
            for name in self.view.holders(model)
            if name not in self._leaving and name in self.configuration.endpoints
        ]
        fresh = [name for name in holders if name not in live.tried] or holders
        if not fresh:
            live.endpoint = ""
            self._want(model)
            return
        name = min(fresh, key=lambda held: (self.view.endpoints[held].running, held))
        attempt_id = live.next_attempt(name)
        live.asked_s = self._now_s
        owner = self.view.endpoints[name].owner
        self._send(owner, messages.GrantAsk(attempt_id, name, model))

    def _want(self, model: AdapterVersion) -> None:
        last_s = self._wanted_at_s.get(model, -WANT_AGAIN_S)
        if self._now_s - last_s < WANT_AGAIN_S:
            return
        self._wanted_at_s[model] = self._now_s
        self._record("load.wanted", model=str(model))
        orderer = rendezvous.choose("load-order", self.members.available())
        if orderer is not None:
            self._send(orderer, messages.LoadWanted(model, 1, 0.0))

    def _retry_waiting(self) -> None:
        self._wanted_at_s = {
            model: at_s
            for model, at_s in self._wanted_at_s.items()
            if self._now_s - at_s < WANT_AGAIN_S
        }
        for live in list(self.live.values()):
            self._forget_lost_grant(live)
            if not live.endpoint:
                self._route(live)

    def _forget_lost_grant(self, live: LiveRequest) -> None:
        # The owner may have died with the question: ask again, under a new
        # attempt id, so that a late grant of the old one cannot be used.
        overdue = self._now_s - live.asked_s > GRANT_TIMEOUT_S
        if live.endpoint and not live.dispatched and overdue:
            self._return_grant(live)
            live.endpoint = ""
            live.attempts_unused += 1

    def _dispatch(self, live: LiveRequest) -> None:
        live.dispatched = True
        entry = self.configuration.endpoints[live.endpoint]
        request_id = live.request.request_id
        self._do(Dispatch(request_id, live.attempt_id, entry.name, entry.address))
        self._record(
            "attempt.dispatched",
            request=request_id,
            attempt=live.attempt_id,
            endpoint=entry.name,
            model=str(live.request.model or ""),
        )

    def _grant_given(self, message: messages.GrantGiven) -> None:
        live = self._of_attempt(message.attempt_id)
        if live is not None:
            self._dispatch(live)

    def _grant_refused(self, message: messages.GrantRefused) -> None:
        live = self._of_attempt(message.attempt_id)
        if live is not None:
            live.endpoint = ""
            live.attempts_unused += 1

    def _of_attempt(self, attempt_id: str) -> LiveRequest | None:
        live = self.live.get(attempt_id.rpartition(".")[0])
        if live is None or live.attempt_id != attempt_id or live.dispatched:
            return None
        return live

    def _attempt_ended(self, event: events.AttemptEnded) -> None:
        live = self.live.get(event.request_id)
        if live is None or live.attempt_id != event.attempt_id:
            return
        self._return_grant(live)
        self._record(
            "attempt.ended",
            request=event.request_id,
            attempt=event.attempt_id,
            outcome=type(event.outcome).__name__,
        )
        if may_retry(live, event.outcome, self._now_s):
            live.endpoint = ""
            self._do(Count("request.retried"))
            self._route(live)
        else:
            self._finish(event.request_id, event.outcome)

    def _return_grant(self, live: LiveRequest) -> None:
        model = live.request.model
        view = self.view.endpoints.get(live.endpoint)
        if model is not None and view is not None and live.attempt_id:
            returned = messages.GrantReturned(live.attempt_id, live.endpoint, model)
            self._send(view.owner, returned)

    def _caller_left(self, event: events.CallerLeft) -> None:
        live = self.live.get(event.request_id)
        if live is not None:
            self._return_grant(live)
            self._finish(event.request_id, Unknown(Reason.CANCELLED))

    def _expire_requests(self) -> None:
        for request_id, live in list(self.live.items()):
            waiting = not live.dispatched
            if waiting and self._now_s >= live.request.deadline_s:
                self._return_grant(live)
                self._finish(request_id, NotRun(Reason.DEADLINE, RETRY_AFTER_S))

    def _finish(self, request_id: str, outcome: Outcome) -> None:
        del self.live[request_id]
        self._do(Finish(request_id, outcome))
        word = "complete" if isinstance(outcome, Complete) else str(outcome.reason)
        self._do(Count(f"request.{word}"))
        self._record(
            "request.finished",
            request=request_id,
            outcome=type(outcome).__name__,
            reason=word,
        )

    # The owner

    def _store_replied(self, event: events.StoreReplied) -> None:
        actions, endpoint = self.owners.replied(event)
        for action in actions:
            self._do(action)
        if endpoint is not None and endpoint in self.configuration.endpoints:
            entry = self.configuration.endpoints[endpoint]
            self._do(AskReport(endpoint, entry.address))

    def _endpoint_reported(self, event: events.EndpointReported) -> None:
        entry = self.configuration.endpoints.get(event.endpoint)
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
            endpoint, self.host, number, ledger.loaded, ledger.running
        )
        for peer in self.members.peers():
            self._do(SendPeer(peer.name, message))
        self._slots_changed(message)

    def _grant_ask(self, message: messages.GrantAsk) -> None:
        ledger = self.ledgers.get(message.endpoint)
        sender = self._sender
        if ledger and ledger.grant(message.model, message.attempt_id, sender):
            given = messages.GrantGiven(message.attempt_id, message.endpoint)
            self._send(sender, given)
            return
        refused = messages.GrantRefused(
            message.attempt_id, message.endpoint, Reason.NOT_LOADED
        )
        self._send(sender, refused)

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
        entry = self.configuration.endpoints.get(endpoint)
        if number is None or entry is None:
            return
        weights = self.configuration.versions.get(model, str(model))
        self._do(OrderEndpoint(endpoint, entry.address, kind, model, weights, number))
        self._record(f"{kind}.ordered", endpoint=endpoint, model=str(model))

    def _order_ended(self, event: events.OrderEnded) -> None:
        self._record(
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
            self._send(placed.orderer, ended)

    # The load order

    def _load_wanted(self, message: messages.LoadWanted) -> None:
        self.load_order.wanted(message.model, message.waiters, self._now_s)
        self._start_loads()

    def _load_ended(self, message: messages.LoadEnded) -> None:
        self.load_order.ended(message.model, message.loaded)
        self._start_loads()

    def _start_loads(self) -> None:
        models = {
            model: self.configuration.base_model_of(model)
            for model in self.load_order.waiting()
            if model in self.configuration.versions
        }
        if not models:
            return
        placed = self.load_order.next_loads(
            self._engines(),
            models,
            self.view,
            self.configuration.loads_per_s,
            self._now_s,
        )
        for load in placed:
            self._send(self.view.endpoints[load.endpoint].owner, load)

    def _slots_changed(self, message: messages.SlotsChanged) -> None:
        self.view.changed(message)
        loaded = set(message.loaded)
        for live in list(self.live.values()):
            if not live.endpoint and live.request.model in loaded:
                self._route(live)
