"""The owner's grants: given, returned, collected, released if the holder dies."""

from dataclasses import dataclass
from math import inf

from knapweedbridge_core import events, messages
from knapweedbridge_core.actions import StoreRead
from knapweedbridge_core.context import Context, Handler
from knapweedbridge_core.grant_admission import GrantAdmission
from knapweedbridge_core.leases import LIVENESS_PREFIX
from knapweedbridge_core.outcomes import Reason
from knapweedbridge_core.owned_endpoints import OwnedEndpoints, OwnedEndpointsSide
from knapweedbridge_core.tenure import Tenure
from knapweedbridge_core.times import (
    RECONCILE_INTERVAL_S,
    RETRY_INTERVAL_S,
    SILENCE_TIMEOUT_S,
)

LIVENESS_TOKEN = "holder-life"


@dataclass(slots=True, frozen=True)
class _RequestKey:
    endpoint: str
    number: int
    host: str


@dataclass(slots=True)
class _HolderRequest:
    """When a holder's answer became due, and when it was last asked."""

    since_s: float
    sent_s: float = -inf
    answered: bool = False


class GrantSide(OwnedEndpointsSide):
    """Give, collect and release the grants of owned endpoints.

    Parameters
    ----------
    context : Context
        State shared with the other sides.
    owned : Estate
        The endpoints that this daemon owns.
    """

    def __init__(self, context: Context, owned: OwnedEndpoints) -> None:
        super().__init__(context, owned)
        self._admission = GrantAdmission(context)
        self._requests: dict[_RequestKey, _HolderRequest] = {}
        self._polled_s: dict[str, float] = {}

    def handlers(self) -> dict[type, Handler]:
        """See `Side.handlers`."""
        return {
            events.Tick: self._tick,
            events.StoreResponse: self._store_response,
            messages.GrantRequest: self._grant_request,
            messages.GrantReturned: self._grant_returned,
            messages.HeldGrants: self._grants_held,
        }

    def _grant_request(self, message: messages.GrantRequest) -> None:
        tenure = self._owned.tenures.get(message.endpoint)
        sender, now_s = self._context.sender, self._context.now_s
        refusal = self._admission.refusal(message, now_s)
        if refusal is not None:
            self._refuse(message, refusal)
            return
        if (
            tenure is not None
            and self._owned.may_grant(tenure, message.model)
            and tenure.ledger.grant(message.model, message.attempt_id, sender, now_s)
        ):
            self._record_grant("grant.given", message)
            given = messages.GrantGiven(
                message.attempt_id, message.endpoint, tenure.number
            )
            self._context.send(sender, given)
            return
        self._admission.leave(message)
        self._refuse(message, Reason.NOT_LOADED)

    def _refuse(self, request: messages.GrantRequest, reason: Reason) -> None:
        self._record_grant("grant.refused", request)
        refused = messages.GrantRefused(request.attempt_id, request.endpoint, reason)
        self._context.send(self._context.sender, refused)

    def _record_grant(self, kind: str, request: messages.GrantRequest) -> None:
        self._context.record(
            kind,
            attempt=request.attempt_id,
            endpoint=request.endpoint,
            model=str(request.model),
            to=self._context.sender,
        )

    def _grant_returned(self, message: messages.GrantReturned) -> None:
        tenure = self._owned.tenures.get(message.endpoint)
        self._admission.leave(message)
        if tenure is not None:
            tenure.ledger.release(message.model, message.attempt_id)

    def _grants_held(self, message: messages.HeldGrants) -> None:
        tenure = self._owned.tenures.get(message.endpoint)
        host, now_s = self._context.sender, self._context.now_s
        if tenure is None or tenure.number != message.number:
            return
        key = _RequestKey(tenure.endpoint, tenure.number, host)
        request = self._requests.setdefault(
            key, _HolderRequest(tenure.takeover.began_s, now_s)
        )
        request.answered = True
        if host in tenure.takeover.pending_holders:
            held = zip(message.models, message.attempts, strict=True)
            for model, attempt_id in held:
                tenure.ledger.held(model, attempt_id, host, now_s)
            if not tenure.checks_fencing:
                tenure.takeover.quarantine(message.quarantined, now_s)
            tenure.takeover.pending_holders.discard(host)
        else:
            tenure.ledger.keep_only(host, set(message.attempts), request.since_s)

    def _tick(self, event: events.Tick) -> None:
        alive = {peer.name for peer in self._context.members.peers()}
        alive.add(self._context.host)
        silent: set[str] = set()
        for tenure in self._owned.tenures.values():
            silent |= self._request_due(tenure, alive)
        self._requests = {
            key: request
            for key, request in self._requests.items()
            if self._is_needed(key)
        }
        for host in sorted(silent):
            self._poll_liveness(host)

    def _is_needed(self, key: _RequestKey) -> bool:
        tenure = self._owned.tenures.get(key.endpoint)
        if tenure is None or tenure.number != key.number:
            return False
        pending_holders = key.host in tenure.takeover.pending_holders
        return pending_holders or key.host in tenure.ledger.holders(self._context.now_s)

    def _request_due(self, tenure: Tenure, alive: set[str]) -> set[str]:
        """Ask the holders that are due; return those that have not answered."""
        now_s = self._context.now_s
        old = tenure.ledger.holders(now_s - RECONCILE_INTERVAL_S)
        silent: set[str] = set()
        for host in sorted(old | tenure.takeover.pending_holders):
            key = _RequestKey(tenure.endpoint, tenure.number, host)
            request = self._requests.setdefault(key, _HolderRequest(now_s))
            if request.answered and now_s - request.sent_s >= RECONCILE_INTERVAL_S:
                request = self._requests[key] = _HolderRequest(now_s)
            if request.answered:
                continue
            if now_s - request.since_s >= SILENCE_TIMEOUT_S:
                silent.add(host)
            if host in alive and now_s - request.sent_s >= RETRY_INTERVAL_S:
                request.sent_s = now_s
                message = messages.HeldGrantsRequest(tenure.endpoint, tenure.number)
                self._context.send(host, message)
        return silent

    def _poll_liveness(self, host: str) -> None:
        now_s = self._context.now_s
        if host == self._context.host:
            return
        if now_s - self._polled_s.get(host, -SILENCE_TIMEOUT_S) < SILENCE_TIMEOUT_S:
            return
        self._polled_s[host] = now_s
        key = (LIVENESS_PREFIX + host,)
        self._context.emit(StoreRead(f"{LIVENESS_TOKEN}:{host}", key))

    def _store_response(self, event: events.StoreResponse) -> None:
        kind, _, host = event.token.partition(":")
        if kind != LIVENESS_TOKEN or not event.known:
            return
        if LIVENESS_PREFIX + host in event.values:
            return
        self._polled_s.pop(host, None)
        self._context.record("holder.dead", holder=host)
        for tenure in self._owned.tenures.values():
            tenure.takeover.pending_holders.discard(host)
            tenure.ledger.orphan(host, self._context.now_s)
