"""Outcomes of attempts and requests."""

from dataclasses import dataclass
from enum import StrEnum


class Reason(StrEnum):
    """Stable codes that say why a request has no answer."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_MODEL = "unknown_model"
    NO_ENDPOINT = "no_endpoint"
    NOT_LOADED = "not_loaded"
    DEADLINE = "deadline"
    OVERLOAD = "overload"
    LIMIT = "limit"
    BLAMED = "blamed"
    DRAINING = "draining"
    STORE_DOWN = "store_down"
    CONNECT_FAILED = "connect_failed"
    ENDPOINT_LEAVING = "endpoint_leaving"
    QUARANTINE = "quarantine"
    ENDPOINT_REFUSED = "endpoint_refused"
    STREAM_BROKEN = "stream_broken"
    WRONG_ADAPTER = "wrong_adapter"
    REPEATED = "repeated"
    ALREADY_RUN = "already_run"
    KEY_REUSED = "key_reused"
    KEY_REQUIRED = "key_required"
    FIRST_UNKNOWN = "first_unknown"
    ENDPOINT_FAILED = "endpoint_failed"
    SILENT = "silent"
    RESUME_FAILED = "resume_failed"
    CANCELLED = "cancelled"
    UNKNOWN_PATH = "unknown_path"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    BODY_TOO_LARGE = "body_too_large"
    BODY_TIMEOUT = "body_timeout"
    INTERNAL = "internal"


@dataclass(slots=True, frozen=True)
class NotRun:
    """The request provably did not run.

    Parameters
    ----------
    reason : Reason
        Why it did not run.
    retry_after_s : float or None
        When to retry; None if a retry cannot help.
    """

    reason: Reason
    retry_after_s: float | None = None


@dataclass(slots=True, frozen=True)
class Unknown:
    """The request may have run, partly or completely.

    Parameters
    ----------
    reason : Reason
        What went wrong after it may have started.
    tokens : int
        Tokens already delivered to the caller.
    retry_after_s : float or None
        When a repeat may learn more; None if it cannot.
    """

    reason: Reason
    tokens: int = 0
    retry_after_s: float | None = None


@dataclass(slots=True, frozen=True)
class Recorded:
    """The answer to an earlier request with the same idempotency key.

    Parameters
    ----------
    status : int
        HTTP status of the answer.
    content_type : str
        Its content type.
    body : bytes
        The whole body.
    """

    status: int
    content_type: str
    body: bytes


@dataclass(slots=True, frozen=True)
class Complete:
    """The complete answer was delivered.

    Parameters
    ----------
    tokens : int
        Number of tokens of the answer.
    answer : Recorded or None
        The answer itself, if it is small and a repeat may request it.
    """

    tokens: int = 0
    answer: Recorded | None = None


Outcome = Complete | NotRun | Unknown
FinalOutcome = Outcome | Recorded
