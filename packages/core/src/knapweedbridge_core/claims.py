"""Claims of idempotency keys: stored records, and outcomes of repeated requests."""

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
    """State of the request that made a claim."""

    OPEN = "open"
    RELEASED = "released"
    COMPLETE = "complete"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class ClaimRecord:
    """What the key-value service holds for one idempotency key.

    Parameters
    ----------
    token : str
        Unique to the claimant; shows whether its own write took effect.
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
        """Encode the record for the key-value service."""
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
    """Decode a record that `ClaimRecord.pack` encoded."""
    token, host, fingerprint, state, fields = msgpack.unpackb(packed)
    return ClaimRecord(
        token, host, fingerprint, state, Recorded(*fields) if fields else None
    )


def may_be_repeated(request: Request) -> bool:
    """Return whether a repeat of a request that runs only once is recognizable."""
    return request.non_idempotent and bool(request.idempotency_key)


def needs_claim(request: Request) -> bool:
    """Return whether a request may be dispatched only under a claim."""
    if not request.non_idempotent:
        return False
    checks_store = request.without_key == WithoutKey.REFUSE_WHEN_STORE_DOWN
    return may_be_repeated(request) or checks_store


def lacks_key(request: Request) -> bool:
    """Return whether a request is refused because it has no idempotency key."""
    refused = request.without_key == WithoutKey.REFUSE
    return request.non_idempotent and refused and not request.idempotency_key


def claim_key(request: Request) -> str:
    """Return the store key for the team, caller and idempotency key of a request."""
    parts = [request.team, request.caller, request.idempotency_key]
    if not request.idempotency_key:
        # No other request can have this key; the claim only proves that the store
        # accepts claims.
        parts.append(request.request_id)
    return CLAIM_KEY + hashlib.sha256("\0".join(parts).encode()).hexdigest()


def ended_state(outcome: FinalOutcome) -> ClaimState:
    """Return the final state of a claim for the outcome of its request."""
    if isinstance(outcome, NotRun):
        return ClaimState.RELEASED
    if isinstance(outcome, Complete):
        return ClaimState.COMPLETE
    return ClaimState.UNKNOWN


def repeat_outcome(
    record: ClaimRecord, request: Request, is_holder_alive: bool
) -> FinalOutcome:
    """Return the outcome of a repeated request.

    Parameters
    ----------
    record : ClaimRecord
        The claim of the first request; not released.
    request : Request
        The repeat.
    is_holder_alive : bool
        Whether the daemon that made the claim is alive.
    """
    if record.fingerprint != request.fingerprint:
        return NotRun(Reason.KEY_REUSED)
    if record.answer is not None:
        return record.answer
    if record.state == ClaimState.COMPLETE:
        return Unknown(Reason.ALREADY_RUN)
    if record.state == ClaimState.OPEN and is_holder_alive:
        return Unknown(Reason.REPEATED, retry_after_s=REPEAT_AFTER_S)
    # The first host died before or after the dispatch, or lost its endpoint. Whether
    # the request ran cannot be known, so it is never run again.
    return Unknown(Reason.FIRST_UNKNOWN)
