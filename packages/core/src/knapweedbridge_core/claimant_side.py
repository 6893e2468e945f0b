"""The claimant: asks for claims before dispatch, and tells how they ended."""

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

ASK_AGAIN_S = 0.5
CLAIM_TIMEOUT_S = 2.0
STORE_RETRY_AFTER_S = 5.0


@dataclass(slots=True)
class _Claim:
    request: Request
    token: str
    since_s: float
    asked_s: float
    held: bool = False


@dataclass(slots=True)
class _Ending:
    message: messages.ClaimEnded
    sent_s: float


class ClaimantSide(Side):
    """Owns the claims of the requests that callers sent to this daemon.

    The request side sets `on_claimed` and `on_refused`, and is told by them.
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
            messages.ClaimResponse: self._answered,
            messages.ClaimEndStored: self._end_kept,
        }

    def begin(self, request: Request) -> None:
        """Ask for the claim of a request that may run only once."""
        now_s = self._context.now_s
        token = f"{self._context.host}/{self._context.incarnation}/{request.request_id}"
        claim = _Claim(request, token, now_s, now_s)
        self._claims[request.request_id] = claim
        self._ask(claim)

    def end(self, request_id: str, outcome: FinalOutcome) -> None:
        """Record how a request ended whose claim was asked for here."""
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
        self._tell_keeper(ended)

    def _keeper(self) -> str:
        members = self._context.members
        names = members.available(self._context.data_centre)
        return rendezvous.choose("claims", names) or self._context.host

    def _tell_keeper(self, message: object) -> None:
        self._context.send(self._keeper(), message)

    def _ask(self, claim: _Claim) -> None:
        claim.asked_s = self._context.now_s
        record = ClaimRecord(
            claim.token, self._context.host, claim.request.fingerprint, ClaimState.OPEN
        )
        asked = messages.ClaimRequest(
            claim_key(claim.request), claim.token, record.pack()
        )
        self._tell_keeper(asked)

    def _tick(self, event: events.Tick) -> None:
        now_s = self._context.now_s
        for request_id, claim in list(self._claims.items()):
            if claim.held:
                continue
            if now_s - claim.since_s >= CLAIM_TIMEOUT_S:
                # Nothing was dispatched, so this is proved; `end` releases the
                # claim, should a write of it have taken effect unseen.
                outcome = NotRun(Reason.STORE_DOWN, STORE_RETRY_AFTER_S)
                self.on_refused(request_id, outcome)
            elif now_s - claim.asked_s >= ASK_AGAIN_S:
                self._ask(claim)
        for ending in list(self._endings.values()):
            if now_s - ending.sent_s >= ASK_AGAIN_S:
                ending.sent_s = now_s
                self._tell_keeper(ending.message)

    def _answered(self, message: messages.ClaimResponse) -> None:
        request_id = message.token.rpartition("/")[2]
        claim = self._claims.get(request_id)
        if claim is None or claim.token != message.token or claim.held:
            return
        record = unpack_record(message.record)
        if record.token == claim.token:
            claim.held = True
            self.on_claimed(request_id)
            return
        # Another's claim: there is nothing of ours to end.
        del self._claims[request_id]
        lives = self._lives(record)
        self.on_refused(request_id, repeat_outcome(record, claim.request, lives))

    def _lives(self, record: ClaimRecord) -> bool:
        # A host that started anew knows nothing of the claims of its last life.
        incarnation = int(record.token.split("/")[1])
        if record.host == self._context.host:
            return incarnation == self._context.incarnation
        member = self._context.members.get(record.host)
        return (
            member is not None and member.is_alive and member.incarnation <= incarnation
        )

    def _end_kept(self, message: messages.ClaimEndStored) -> None:
        self._endings.pop(message.token, None)


def _ignore(*told: object) -> None:
    """Stand for a listener until one is set."""
