"""Claims requests that may run only once before dispatch, and ends the claims."""

from collections.abc import Callable
from dataclasses import dataclass

from knapweedbridge_core import events, messages, rendezvous
from knapweedbridge_core.claims import (
    ClaimRecord,
    ClaimState,
    claim_key,
    ended_state,
    repeat_outcome,
    unpack_record,
)
from knapweedbridge_core.context import Context, Handler, Side
from knapweedbridge_core.events import Request
from knapweedbridge_core.outcomes import Complete, FinalOutcome, NotRun, Reason

RESEND_INTERVAL_S = 0.5
CLAIM_TIMEOUT_S = 2.0
STORE_RETRY_AFTER_S = 5.0


@dataclass(slots=True)
class _Claim:
    request: Request
    token: str
    since_s: float
    sent_s: float
    held: bool = False


@dataclass(slots=True)
class _Ending:
    message: messages.ClaimEnded
    sent_s: float


class ClaimantSide(Side):
    """Holds the claims of the requests that callers sent to this daemon.

    The request side sets the callbacks `on_claimed` and `on_refused`.
    """

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        self.on_claimed: Callable[[str], None] = _ignore
        self.on_refused: Callable[[str, FinalOutcome], None] = _ignore
        self._claims: dict[str, _Claim] = {}
        self._endings: dict[str, _Ending] = {}

    def handlers(self) -> dict[type, Handler]:
        """See `Side.handlers`."""
        return {
            events.Tick: self._tick,
            messages.ClaimResponse: self._claim_responded,
            messages.ClaimEndStored: self._end_stored,
        }

    def begin(self, request: Request) -> None:
        """Request the claim of a request that may run only once."""
        now_s = self._context.now_s
        token = f"{self._context.host}/{self._context.incarnation}/{request.request_id}"
        claim = _Claim(request, token, now_s, now_s)
        self._claims[request.request_id] = claim
        self._send_request(claim)

    def end(self, request_id: str, outcome: FinalOutcome) -> None:
        """Record how a request ended whose claim was requested here."""
        claim = self._claims.pop(request_id, None)
        if claim is None:
            return
        answer = outcome.answer if isinstance(outcome, Complete) else None
        record = ClaimRecord(
            claim.token,
            self._context.host,
            claim.request.fingerprint,
            ended_state(outcome),
            answer,
        )
        ended = messages.ClaimEnded(
            claim_key(claim.request), claim.token, record.pack()
        )
        self._endings[claim.token] = _Ending(ended, self._context.now_s)
        self._send_to_coordinator(ended)

    def _coordinator(self) -> str:
        members = self._context.members
        names = members.available(self._context.data_centre)
        return rendezvous.choose("claims", names) or self._context.host

    def _send_to_coordinator(self, message: object) -> None:
        self._context.send(self._coordinator(), message)

    def _send_request(self, claim: _Claim) -> None:
        claim.sent_s = self._context.now_s
        record = ClaimRecord(
            claim.token, self._context.host, claim.request.fingerprint, ClaimState.OPEN
        )
        message = messages.ClaimRequest(
            claim_key(claim.request), claim.token, record.pack()
        )
        self._send_to_coordinator(message)

    def _tick(self, event: events.Tick) -> None:
        now_s = self._context.now_s
        for request_id, claim in list(self._claims.items()):
            if claim.held:
                continue
            if now_s - claim.since_s >= CLAIM_TIMEOUT_S:
                # Nothing was dispatched, which proves that the request did not run. The
                # claim may have been written without a response: `end` releases it.
                outcome = NotRun(Reason.STORE_DOWN, STORE_RETRY_AFTER_S)
                self.on_refused(request_id, outcome)
            elif now_s - claim.sent_s >= RESEND_INTERVAL_S:
                self._send_request(claim)
        for ending in list(self._endings.values()):
            if now_s - ending.sent_s >= RESEND_INTERVAL_S:
                ending.sent_s = now_s
                self._send_to_coordinator(ending.message)

    def _claim_responded(self, message: messages.ClaimResponse) -> None:
        request_id = message.token.rpartition("/")[2]
        claim = self._claims.get(request_id)
        if claim is None or claim.token != message.token or claim.held:
            return
        record = unpack_record(message.record)
        if record.token == claim.token:
            claim.held = True
            self.on_claimed(request_id)
            return
        # The stored claim is another request's: there is none of this one to end.
        del self._claims[request_id]
        alive = self._is_holder_alive(record)
        self.on_refused(request_id, repeat_outcome(record, claim.request, alive))

    def _is_holder_alive(self, record: ClaimRecord) -> bool:
        # A host that restarted knows nothing of the claims of its earlier incarnation.
        incarnation = int(record.token.split("/")[1])
        if record.host == self._context.host:
            return incarnation == self._context.incarnation
        member = self._context.members.get(record.host)
        return (
            member is not None and member.is_alive and member.incarnation <= incarnation
        )

    def _end_stored(self, message: messages.ClaimEndStored) -> None:
        self._endings.pop(message.token, None)


def _ignore(*arguments: object) -> None:
    """Do nothing; the default of the callbacks."""
