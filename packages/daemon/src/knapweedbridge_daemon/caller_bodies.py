"""Bodies of callers' requests: read within bounds, and checked for their form."""

import json
from dataclasses import dataclass
from typing import NoReturn

import anyio
from starlette.requests import Request

from knapweedbridge_core.outcomes import Reason
from knapweedbridge_daemon.answers import RefusedError

BODY_TIMEOUT_S = 30.0
DISCARDED_BYTES = 16 << 20


@dataclass(slots=True, frozen=True)
class ModelBody:
    """The fields of a model request that the daemon reads."""

    model: str
    streamed: bool


async def read_body(request: Request, max_bytes: int) -> bytes:
    """Read the body of a request.

    Parameters
    ----------
    max_bytes : int
        Largest body taken.

    Raises
    ------
    RefusedError
        With `Reason.BODY_TOO_LARGE`, or `Reason.BODY_TIMEOUT` where the body
        did not arrive in `BODY_TIMEOUT_S`.
    """
    try:
        with anyio.fail_after(BODY_TIMEOUT_S):
            return await _read(request, max_bytes)
    except TimeoutError:
        text = f"the body did not arrive within {BODY_TIMEOUT_S:g} s"
        raise RefusedError(Reason.BODY_TIMEOUT, text) from None


async def _read(request: Request, max_bytes: int) -> bytes:
    chunks: list[bytes] = []
    size = 0
    async for chunk in request.stream():
        size += len(chunk)
        if size <= max_bytes:
            chunks.append(chunk)
        elif size > max_bytes + DISCARDED_BYTES:
            break
    # The rest was read and dropped: a connection closed on unread bytes is
    # reset, and the caller would see the reset in place of the answer.
    if size > max_bytes:
        text = f"the body is over {max_bytes} bytes"
        raise RefusedError(Reason.BODY_TOO_LARGE, text)
    return b"".join(chunks)


def read_model_body(body: bytes) -> ModelBody:
    """Check the body of a chat completions or completions request.

    Raises
    ------
    RefusedError
        With `Reason.BAD_REQUEST`, saying what is wrong.
    """
    try:
        fields = json.loads(body, parse_constant=_refuse_constant)
    except (ValueError, RecursionError):
        raise _bad("the body is not JSON") from None
    if not isinstance(fields, dict):
        raise _bad("the body is not a JSON object")
    model, streamed = fields.get("model"), fields.get("stream")
    if not isinstance(model, str) or not model:
        raise _bad("model: allowed: the name of an adapter version or an application")
    if streamed is not None and not isinstance(streamed, bool):
        raise _bad("stream: allowed: true or false")
    return ModelBody(model, bool(streamed))


def _refuse_constant(name: str) -> NoReturn:
    # NaN and Infinity are no JSON; passed on, an engine might refuse them late.
    raise ValueError(name)


def _bad(message: str) -> RefusedError:
    return RefusedError(Reason.BAD_REQUEST, message)
