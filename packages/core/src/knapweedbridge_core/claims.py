"""Claims of idempotency keys: what is stored, and what a repeat is told."""

import hashlib
from dataclasses import dataclass
from enum import StrEnum

import msgpack

from knapweedbridge_core.events import Request
from knapweedbridge_core.outcomes import (
    Complete,
    FinalOutcome,
    NotRun,
    Reason,
    Recorded,
    Unknown,
)
from knapweedbridge_core.rules import WithoutKey

CLAIM_KEY = "knapweedbridge/claim/"
REPEAT_AFTER_S = 1.0
MAX_ANSWER_BYTES = 2048


class ClaimState(StrEnum):
    """How far the request that made a claim has come."""

    OPEN = "open"
    RELEASED = "released"
    COMPLETE = "complete"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class ClaimRecord:
    """What the key-value service holds of one idempotency key.

    Parameters
    ----------
    token : str
        Unique to the claimant; tells whether a write of ours took effect.
    host : str
        Daemon that runs the request.
    fingerprint : str
        Hash of caller, service and body of the first request.
    state : str
        One of `ClaimState`.
    answer : Recorded or None
        The answer, where it is complete and small.
    """

    token: str
    host: str
    fingerprint: str
    state: str
    answer: Recorded | None = None

    def pack(self) -> bytes:
        """Encode for the key-value service."""
        answer = self.answer
        fields = (
            None
            if answer is None
            else [answer.status, answer.content_type, answer.body]
        )
        return msgpack.packb(
            [self.token, self.host, self.fingerprint, str(self.state), fields]
        )


def unpack_record(packed: bytes) -> ClaimRecord:
    """Decode what `ClaimRecord.pack` made."""
    token, host, fingerprint, state, fields = msgpack.unpackb(packed)
    return ClaimRecord(
        token, host, fingerprint, state, Recorded(*fields) if fields else None
    )


def may_be_repeated(request: Request) -> bool:
    """Tell whether a repeat of a request that runs only once can be known."""
    return request.non_idempotent and bool(request.idempotency_key)


def needs_claim(request: Request) -> bool:
    """Tell whether a request may be dispatched only under a claim."""
    if not request.non_idempotent:
        return False
    checks_store = request.without_key == WithoutKey.REFUSE_WHEN_STORE_DOWN
    return may_be_repeated(request) or checks_store


def lacks_key(request: Request) -> bool:
    """Tell whether a request is refused because it shows no key."""
    refused = request.without_key == WithoutKey.REFUSE
    return request.non_idempotent and refused and not request.idempotency_key


def claim_key(request: Request) -> str:
    """Return the stored key of (team, caller, idempotency key)."""
    parts = [request.team, request.caller, request.idempotency_key]
    if not request.idempotency_key:
        # Nothing can repeat it: its claim only shows that the store takes claims.
        parts.append(request.request_id)
    return CLAIM_KEY + hashlib.sha256("\0".join(parts).encode()).hexdigest()


def ended_state(outcome: FinalOutcome) -> ClaimState:
    """Tell how a claim ends when its request ends so."""
    if isinstance(outcome, NotRun):
        return ClaimState.RELEASED
    if isinstance(outcome, Complete):
        return ClaimState.COMPLETE
    return ClaimState.UNKNOWN


def repeat_outcome(
    record: ClaimRecord, request: Request, holder_lives: bool
) -> FinalOutcome:
    """Tell what the caller of a repeat is answered.

    Parameters
    ----------
    record : ClaimRecord
        The claim of the first request; not released.
    request : Request
        The repeat.
    holder_lives : bool
        Whether the daemon that made the claim is there.
    """
    if record.fingerprint != request.fingerprint:
        return NotRun(Reason.KEY_REUSED)
    if record.answer is not None:
        return record.answer
    if record.state == ClaimState.COMPLETE:
        return Unknown(Reason.ALREADY_RUN)
    if record.state == ClaimState.OPEN and holder_lives:
        return Unknown(Reason.REPEATED, retry_after_s=REPEAT_AFTER_S)
    # The first host died before or after it dispatched, or lost its endpoint:
    # nobody can tell whether the request ran, so it is never run again.
    return Unknown(Reason.FIRST_UNKNOWN)
