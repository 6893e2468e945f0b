"""The owner: lives by its lease, takes endpoints over, hands them over."""

from collections.abc import Callable
from math import inf
from typing import Any

from knapweedbridge_core import events, messages
from knapweedbridge_core.actions import RequestReport
from knapweedbridge_core.configuration import EndpointEntry
from knapweedbridge_core.context import Context, Handler
from knapweedbridge_core.estate import Estate, EstateSide
from knapweedbridge_core.ledger import Ledger
from knapweedbridge_core.owners import Change, Claimed, HandedOver, Lost, Owners
from knapweedbridge_core.takeover import Takeover, wait_s
from knapweedbridge_core.tenure import Tenure
from knapweedbridge_core.times import (
    REFRESH_INTERVAL_S,
    REPORT_MAX_AGE_S,
    RETRY_INTERVAL_S,
)

RUNNING_STEP = 0.25


class OwnerSide(EstateSide):
    """Owns the tenures: their beginning, their reports and their end."""

    def __init__(self, context: Context, estate: Estate) -> None:
        super().__init__(context, estate)
        self._takers: dict[type, Callable[[Any], None]] = {
            Claimed: self._claimed,
            Lost: self._lost,
            HandedOver: self._handed_over,
        }

    @property
    def owners(self) -> Owners:
        """The claims."""
        return self._estate.owners

    @property
    def tenures(self) -> dict[str, Tenure]:
        """The endpoints this daemon owns."""
        return self._estate.tenures

    def handlers(self) -> dict[type, Handler]:
        """See `Side.handlers`."""
        return {
            events.Tick: self._tick,
            events.DrainStarted: self._drain_began,
            events.PeerConnected: self._peer_linked,
            events.PeerMessage: self._peer_heard,
            events.StoreResponse: self._store_replied,
            events.EndpointReported: self._endpoint_reported,
            messages.EndpointUpdate: self._slots_changed,
            messages.OwnerSuperseded: self._owner_rose,
            messages.HeldGrantsRequest: self._grants_ask,
            messages.HandOver: self._hand_over_heard,
        }

    def _tick(self, event: events.Tick) -> None:
        self._estate.tick()
        for action in self._estate.lease.tick(self._context.now_s):
            self._context.emit(action)
        self._claim()
        for entry in self._context.engines():
            self._look_after(entry)
        for tenure in list(self.tenures.values()):
            if tenure.endpoint not in self._context.configuration.endpoints:
                del self.tenures[tenure.endpoint]
                continue
            self._ask_report(tenure)
            self._publish_if_due(tenure)

    def _claim(self) -> None:
        now_s = self._context.now_s
        for action in self.owners.tick(self._context.engines(), now_s):
            self._context.emit(action)

    def _look_after(self, entry: EndpointEntry) -> None:
        number = self.owners.number(entry.name)
        if number is None:
            return
        if entry.name not in self.tenures:
            self._begin(entry, number, clean=False)
        self.tenures[entry.name].ledger.resize(entry.slots)
        self._hand_over_if_due(entry, self.tenures[entry.name])

    def _hand_over_if_due(self, entry: EndpointEntry, tenure: Tenure) -> None:
        successor = self.owners.computed_owner(entry)
        elsewhere = successor not in (None, self._context.host)
        tenure.closing = elsewhere and self._estate.lease.is_valid(self._context.now_s)
        settled = tenure.takeover.may_evict(self._context.now_s) and tenure.ready
        quiet = tenure.ledger.is_quiet and not tenure.announced_evictions
        if not tenure.closing or not settled or not quiet or successor is None:
            return
        now_s = self._context.now_s
        for action in self.owners.hand_over(entry.name, successor, now_s):
            self._context.emit(action)

    def _drain_began(self, event: events.DrainStarted) -> None:
        for entry in self._context.engines():
            self._look_after(entry)

    def _store_replied(self, event: events.StoreResponse) -> None:
        now_s = self._context.now_s
        if event.token.startswith("lease:"):
            before = self._estate.lease.epoch
            for action in self._estate.lease.replied(event, now_s):
                self._context.emit(action)
            if self._estate.lease.epoch != before:
                self._context.record("lease.begun", epoch=before + 1)
                self._claim()
            return
        actions, changes = self.owners.replied(event, now_s)
        for action in actions:
            self._context.emit(action)
        self._take_changes(changes)

    def _take_changes(self, changes: list[Change]) -> None:
        for change in changes:
            self._takers[type(change)](change)

    def _claimed(self, change: Claimed) -> None:
        entry = self._context.configuration.endpoints.get(change.endpoint)
        if entry is not None:
            self._begin(entry, change.number, change.clean)

    def _begin(self, entry: EndpointEntry, number: int, clean: bool) -> None:
        now_s = self._context.now_s
        settled_s = now_s + wait_s(clean, entry.checks_fencing)
        takeover = Takeover(now_s, settled_s, self._possible_holders())
        ledger = Ledger(entry.slots, settled_s)
        tenure = Tenure(entry.name, number, entry.checks_fencing, ledger, takeover)
        self.tenures[entry.name] = tenure
        self._ask_holders(tenure)
        self._ask_report(tenure)

    def _possible_holders(self) -> set[str]:
        members = self._context.members
        return {member.name for member in members.known()} | {self._context.host}

    def _ask_holders(self, tenure: Tenure) -> None:
        linked = {peer.name for peer in self._context.members.peers()}
        ask = messages.HeldGrantsRequest(tenure.endpoint, tenure.number)
        for host in sorted(tenure.takeover.unheard):
            if host in linked or host == self._context.host:
                self._context.send(host, ask)

    def _lost(self, change: Lost) -> None:
        if self.tenures.pop(change.endpoint, None) is not None:
            self._context.record("owner.lost", endpoint=change.endpoint)

    def _handed_over(self, change: HandedOver) -> None:
        tenure = self.tenures.pop(change.endpoint, None)
        if tenure is None:
            return
        grants = tenure.ledger.grants()
        self._context.send(
            change.successor,
            messages.HandOver(
                change.endpoint,
                change.number,
                tenure.ledger.loaded,
                [grant.model for grant in grants],
                [grant.attempt_id for grant in grants],
                [grant.holder for grant in grants],
                list(tenure.takeover.condemned),
            ),
        )

    def _hand_over_heard(self, message: messages.HandOver) -> None:
        entry = self._context.configuration.endpoints.get(message.endpoint)
        if entry is None or not self.owners.accept(message.endpoint, message.number):
            return
        now_s = self._context.now_s
        ledger = Ledger(entry.slots)
        ledger.begin_with(message.loaded, now_s)
        for model, attempt_id, holder in zip(
            message.grant_models,
            message.grant_attempts,
            message.grant_holders,
            strict=True,
        ):
            ledger.held(model, attempt_id, holder, now_s)
        before = self.tenures.get(entry.name)
        for grant in before.ledger.grants() if before is not None else []:
            ledger.held(grant.model, grant.attempt_id, grant.holder, now_s)
        takeover = Takeover(now_s, now_s)
        takeover.condemn(message.condemned, now_s)
        tenure = Tenure(
            entry.name, message.number, entry.checks_fencing, ledger, takeover, True
        )
        self.tenures[entry.name] = tenure
        self._context.record(
            "owner.claimed", endpoint=entry.name, number=message.number
        )
        self._claim()
        self._ask_report(tenure)
        self._estate.publish(tenure)

    def _endpoint_reported(self, event: events.EndpointReported) -> None:
        tenure = self.tenures.get(event.endpoint)
        if tenure is None or event.taken_s < tenure.takeover.began_s:
            return
        now_s = self._context.now_s
        tenure.reported_s = max(tenure.reported_s, event.taken_s)
        tenure.ledger.reported(event.loaded, event.running, event.taken_s, now_s)
        first, tenure.ready = not tenure.ready, True
        if first or tenure.published != self._estate.grantable(tenure):
            self._estate.publish(tenure)

    def _ask_report(self, tenure: Tenure) -> None:
        now_s = self._context.now_s
        wanted_s = tenure.ledger.wanted_report_s
        in_doubt = tenure.reported_s <= wanted_s < now_s
        old = now_s - tenure.reported_s >= REPORT_MAX_AGE_S
        asked = now_s - tenure.report_asked_s < RETRY_INTERVAL_S
        if asked or not (in_doubt or old or not tenure.ready):
            return
        entry = self._context.configuration.endpoints[tenure.endpoint]
        tenure.report_asked_s = now_s
        self._context.emit(RequestReport(entry.name, entry.address, tenure.number))

    def _publish_if_due(self, tenure: Tenure) -> None:
        running = tenure.ledger.running
        step = max(2.0, RUNNING_STEP * tenure.published_running)
        moved = abs(running - tenure.published_running) >= step
        stale = self._context.now_s - tenure.published_s >= REFRESH_INTERVAL_S
        if moved or stale or tenure.published != self._estate.grantable(tenure):
            self._estate.publish(tenure)

    def _peer_heard(self, event: events.PeerMessage) -> None:
        self._estate.heard(event.host)

    def _peer_linked(self, event: events.PeerConnected) -> None:
        for tenure in self.tenures.values():
            tenure.published_s = -inf

    def _slots_changed(self, message: messages.EndpointUpdate) -> None:
        self._raise(message.endpoint, message.number)

    def _owner_rose(self, message: messages.OwnerSuperseded) -> None:
        self._raise(message.endpoint, message.number)

    def _grants_ask(self, message: messages.HeldGrantsRequest) -> None:
        self._raise(message.endpoint, message.number)

    def _raise(self, endpoint: str, number: int) -> None:
        if self._context.sender == self._context.host:
            return
        tenure = self.tenures.get(endpoint)
        if tenure is not None and number < tenure.number:
            rose = messages.OwnerSuperseded(endpoint, tenure.number)
            self._context.send(self._context.sender, rose)
            return
        self._take_changes(self.owners.record_superseded(endpoint, number))
