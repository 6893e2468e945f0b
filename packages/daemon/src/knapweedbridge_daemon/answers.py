"""Turns outcomes into HTTP answers."""

import json
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
    Reason.LIMIT: 429,
    Reason.BLAMED: 422,
    Reason.STREAM_BROKEN: 502,
    Reason.WRONG_ADAPTER: 502,
    Reason.ENDPOINT_FAILED: 502,
    Reason.RESUME_FAILED: 502,
    Reason.SILENT: 504,
}
DEFAULT_STATUS = 503


class RefusedError(Exception):
    """A request was refused before the core saw it."""

    def __init__(self, reason: Reason, message: str) -> None:
        super().__init__(message)
        self.reason = reason


def error_body(outcome: NotRun | Unknown, message: str = "") -> dict[str, Any]:
    """Make the JSON body of an error."""
    run = "not_run" if isinstance(outcome, NotRun) else "unknown"
    text = message or str(outcome.reason).replace("_", " ")
    return {
        "error": {"message": text, "type": run, "code": str(outcome.reason), "run": run}
    }


async def send_json(
    send: Send, status: int, body: Any, headers: list[tuple[bytes, bytes]] | None = None
) -> None:
    """Send a JSON body as the whole answer."""
    start = {
        "type": "http.response.start",
        "status": status,
        "headers": [(b"content-type", b"application/json"), *(headers or [])],
    }
    await send(start)
    await send({"type": "http.response.body", "body": json.dumps(body).encode()})


async def send_error(send: Send, outcome: NotRun | Unknown, message: str = "") -> None:
    """Send an outcome without an answer, with `Retry-After` where it applies."""
    headers = []
    if outcome.retry_after_s is not None:
        seconds = max(1, round(outcome.retry_after_s))
        headers = [(b"retry-after", str(seconds).encode())]
    status = STATUS.get(outcome.reason, DEFAULT_STATUS)
    await send_json(send, status, error_body(outcome, message), headers)
