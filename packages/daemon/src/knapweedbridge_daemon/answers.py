"""Turns outcomes into HTTP answers."""

import json
import math
from typing import Any

from starlette.types import Send

from knapweedbridge_core.outcomes import NotRun, Reason, Unknown

STATUS = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHENTICATED: 401,
    Reason.FORBIDDEN: 403,
    Reason.UNKNOWN_MODEL: 404,
    Reason.REPEATED: 409,
    Reason.ALREADY_RUN: 409,
    Reason.KEY_REUSED: 422,
    Reason.KEY_REQUIRED: 400,
    Reason.FIRST_UNKNOWN: 409,
    Reason.LIMIT: 429,
    Reason.BLAMED: 422,
    Reason.STREAM_BROKEN: 502,
    Reason.WRONG_ADAPTER: 502,
    Reason.ENDPOINT_FAILED: 502,
    Reason.RESUME_FAILED: 502,
    Reason.SILENT: 504,
    Reason.UNKNOWN_PATH: 404,
    Reason.METHOD_NOT_ALLOWED: 405,
    Reason.BODY_TOO_LARGE: 413,
    Reason.BODY_TIMEOUT: 408,
    Reason.INTERNAL: 500,
    Reason.NO_ENDPOINT: 503,
    Reason.NOT_LOADED: 503,
    Reason.DEADLINE: 503,
    Reason.OVERLOAD: 503,
    Reason.DRAINING: 503,
    Reason.STORE_DOWN: 503,
    Reason.CONNECT_FAILED: 503,
    Reason.ENDPOINT_REFUSED: 503,
    Reason.ENDPOINT_LEAVING: 503,
    Reason.QUARANTINE: 503,
    Reason.CANCELLED: 503,
}
DEFAULT_STATUS = 503
RETRY_LATER_STATUS = frozenset({429, 503})
RETRY_AFTER_S = 1.0

Headers = list[tuple[bytes, bytes]]


class RefusedError(Exception):
    """A request was refused before the core saw it.

    Parameters
    ----------
    reason : Reason
        The stable code.
    message : str
        What a person reads.
    headers : list of (bytes, bytes), optional
        Further headers of the answer.
    """

    def __init__(
        self, reason: Reason, message: str, headers: Headers | None = None
    ) -> None:
        super().__init__(message)
        self.reason = reason
        self.headers = headers


def error_body(outcome: NotRun | Unknown, message: str = "") -> dict[str, Any]:
    """Make the JSON body of an error."""
    run = "not_run" if isinstance(outcome, NotRun) else "unknown"
    if outcome.reason == Reason.ALREADY_RUN:
        run = "complete"
    text = message or str(outcome.reason).replace("_", " ")
    return {
        "error": {"message": text, "type": run, "code": str(outcome.reason), "run": run}
    }


async def send_json(
    send: Send, status: int, body: Any, headers: Headers | None = None
) -> None:
    """Send a JSON body as the whole answer."""
    encoded = json.dumps(body).encode()
    length = str(len(encoded)).encode()
    start = {
        "type": "http.response.start",
        "status": status,
        "headers": [
            (b"content-type", b"application/json"),
            (b"content-length", length),
            *(headers or []),
        ],
    }
    await send(start)
    await send({"type": "http.response.body", "body": encoded})


async def send_error(
    send: Send,
    outcome: NotRun | Unknown,
    message: str = "",
    headers: Headers | None = None,
) -> None:
    """Send an outcome without an answer, with `Retry-After` where it applies."""
    status = STATUS.get(outcome.reason, DEFAULT_STATUS)
    retry_after_s = outcome.retry_after_s
    if retry_after_s is None and status in RETRY_LATER_STATUS:
        retry_after_s = RETRY_AFTER_S
    sent = list(headers or [])
    if retry_after_s is not None:
        sent.append((b"retry-after", whole_seconds(retry_after_s)))
    await send_json(send, status, error_body(outcome, message), sent)


def whole_seconds(seconds: float) -> bytes:
    """Return a `Retry-After` value: rounded up, so that nobody comes too early."""
    return str(max(1, math.ceil(seconds))).encode()
