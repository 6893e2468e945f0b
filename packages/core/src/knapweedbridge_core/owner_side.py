"""The owner of endpoints: its lease, takeovers, reports and handovers."""

from collections.abc import Callable
from math import inf
from typing import Any

from knapweedbridge_core import events, messages
from knapweedbridge_core.actions import RequestReport
from knapweedbridge_core.configuration import EndpointEntry
from knapweedbridge_core.context import Context, Handler
from knapweedbridge_core.ledger import Ledger
from knapweedbridge_core.owned_endpoints import OwnedEndpoints, OwnedEndpointsSide
from knapweedbridge_core.owners import (
    Claimed,
    HandedOver,
    Lost,
    Owners,
    OwnershipChange,
)
from knapweedbridge_core.takeover import Takeover, wait_s
from knapweedbridge_core.tenure import Tenure
from knapweedbridge_core.times import (
    REFRESH_INTERVAL_S,
    REPORT_MAX_AGE_S,
    RETRY_INTERVAL_S,
)

RUNNING_STEP_SHARE = 0.25


class OwnerSide(OwnedEndpointsSide):
    """Own endpoints: take them over, request their reports and hand them over.

    Parameters
    ----------
    context : Context
        State shared with the other sides.
    owned : Estate
        The endpoints that this daemon owns.
    """

    def __init__(self, context: Context, owned: OwnedEndpoints) -> None:
        super().__init__(context, owned)
        self._change_handlers: dict[type, Callable[[Any], None]] = {
            Claimed: self._claimed,
            Lost: self._lost,
            HandedOver: self._handed_over,
        }

    @property
    def owners(self) -> Owners:
        """Claims of this daemon to endpoints."""
        return self._owned.owners

    @property
    def tenures(self) -> dict[str, Tenure]:
        """State of the endpoints that this daemon owns."""
        return self._owned.tenures

    def handlers(self) -> dict[type, Handler]:
        """See `Side.handlers`."""
        return {
            events.Tick: self._tick,
            events.DrainStarted: self._drain_started,
            events.PeerConnected: self._peer_connected,
            events.PeerMessage: self._peer_message,
            events.StoreResponse: self._store_response,
            events.EndpointReported: self._endpoint_reported,
            messages.EndpointUpdate: self._endpoint_update,
            messages.OwnerSuperseded: self._owner_superseded,
            messages.HeldGrantsRequest: self._held_grants_request,
            messages.HandOver: self._accept_handover,
        }

    def _tick(self, event: events.Tick) -> None:
        self._owned.tick()
        for action in self._owned.lease.tick(self._context.now_s):
            self._context.emit(action)
        self._claim()
        for entry in self._context.engines():
            self._update_endpoint(entry)
        for tenure in list(self.tenures.values()):
            if tenure.endpoint not in self._context.configuration.endpoints:
                del self.tenures[tenure.endpoint]
                continue
            self._request_report(tenure)
            self._publish_if_due(tenure)

    def _claim(self) -> None:
        now_s = self._context.now_s
        for action in self.owners.tick(self._context.engines(), now_s):
            self._context.emit(action)

    def _update_endpoint(self, entry: EndpointEntry) -> None:
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
        tenure.closing = elsewhere and self._owned.lease.is_valid(self._context.now_s)
        settled = tenure.takeover.may_evict(self._context.now_s) and tenure.ready
        quiet = tenure.ledger.is_quiet and not tenure.announced_evictions
        if not tenure.closing or not settled or not quiet or successor is None:
            return
        now_s = self._context.now_s
        for action in self.owners.hand_over(entry.name, successor, now_s):
            self._context.emit(action)

    def _drain_started(self, event: events.DrainStarted) -> None:
        for entry in self._context.engines():
            self._update_endpoint(entry)

    def _store_response(self, event: events.StoreResponse) -> None:
        now_s = self._context.now_s
        if event.token.startswith("lease:"):
            before = self._owned.lease.epoch
            for action in self._owned.lease.handle_reply(event, now_s):
                self._context.emit(action)
            if self._owned.lease.epoch != before:
                self._context.record("lease.begun", epoch=before + 1)
                self._claim()
            return
        actions, changes = self.owners.handle_reply(event, now_s)
        for action in actions:
            self._context.emit(action)
        self._apply_changes(changes)

    def _apply_changes(self, changes: list[OwnershipChange]) -> None:
        for change in changes:
            self._change_handlers[type(change)](change)

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
        self._request_held_grants(tenure)
        self._request_report(tenure)

    def _possible_holders(self) -> set[str]:
        members = self._context.members
        return {member.name for member in members.known()} | {self._context.host}

    def _request_held_grants(self, tenure: Tenure) -> None:
        alive = {peer.name for peer in self._context.members.peers()}
        request = messages.HeldGrantsRequest(tenure.endpoint, tenure.number)
        for host in sorted(tenure.takeover.pending_holders):
            if host in alive or host == self._context.host:
                self._context.send(host, request)

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
                list(tenure.takeover.quarantined),
            ),
        )

    def _accept_handover(self, message: messages.HandOver) -> None:
        entry = self._context.configuration.endpoints.get(message.endpoint)
        if entry is None or not self.owners.accept_handover(
            message.endpoint, message.number
        ):
            return
        now_s = self._context.now_s
        ledger = Ledger(entry.slots)
        ledger.restore_loaded(message.loaded, now_s)
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
        takeover.quarantine(message.quarantined, now_s)
        tenure = Tenure(
            entry.name, message.number, entry.checks_fencing, ledger, takeover, True
        )
        self.tenures[entry.name] = tenure
        self._context.record(
            "owner.claimed", endpoint=entry.name, number=message.number
        )
        self._claim()
        self._request_report(tenure)
        self._owned.publish(tenure)

    def _endpoint_reported(self, event: events.EndpointReported) -> None:
        tenure = self.tenures.get(event.endpoint)
        if tenure is None or event.taken_s < tenure.takeover.began_s:
            return
        now_s = self._context.now_s
        tenure.reported_s = max(tenure.reported_s, event.taken_s)
        tenure.ledger.apply_report(event.loaded, event.running, event.taken_s, now_s)
        first, tenure.ready = not tenure.ready, True
        if first or tenure.published != self._owned.grantable(tenure):
            self._owned.publish(tenure)

    def _request_report(self, tenure: Tenure) -> None:
        now_s = self._context.now_s
        wanted_s = tenure.ledger.required_report_s
        in_doubt = tenure.reported_s <= wanted_s < now_s
        old = now_s - tenure.reported_s >= REPORT_MAX_AGE_S
        requested = now_s - tenure.report_requested_s < RETRY_INTERVAL_S
        if requested or not (in_doubt or old or not tenure.ready):
            return
        entry = self._context.configuration.endpoints[tenure.endpoint]
        tenure.report_requested_s = now_s
        self._context.emit(RequestReport(entry.name, entry.address, tenure.number))

    def _publish_if_due(self, tenure: Tenure) -> None:
        running = tenure.ledger.running
        step = max(2.0, RUNNING_STEP_SHARE * tenure.published_running)
        moved = abs(running - tenure.published_running) >= step
        stale = self._context.now_s - tenure.published_s >= REFRESH_INTERVAL_S
        if moved or stale or tenure.published != self._owned.grantable(tenure):
            self._owned.publish(tenure)

    def _peer_message(self, event: events.PeerMessage) -> None:
        self._owned.record_contact(event.host)

    def _peer_connected(self, event: events.PeerConnected) -> None:
        for tenure in self.tenures.values():
            tenure.published_s = -inf

    def _endpoint_update(self, message: messages.EndpointUpdate) -> None:
        self._compare_number(message.endpoint, message.number)

    def _owner_superseded(self, message: messages.OwnerSuperseded) -> None:
        self._compare_number(message.endpoint, message.number)

    def _held_grants_request(self, message: messages.HeldGrantsRequest) -> None:
        self._compare_number(message.endpoint, message.number)

    def _compare_number(self, endpoint: str, number: int) -> None:
        """Give up an endpoint for a higher number; answer a lower one."""
        if self._context.sender == self._context.host:
            return
        tenure = self.tenures.get(endpoint)
        if tenure is not None and number < tenure.number:
            superseded = messages.OwnerSuperseded(endpoint, tenure.number)
            self._context.send(self._context.sender, superseded)
            return
        self._apply_changes(self.owners.record_superseded(endpoint, number))
