"""Bodies of callers' requests: read within bounds, and checked for their form."""

import json
from dataclasses import dataclass
from typing import NoReturn

import anyio
from starlette.requests import Request

from knapweedbridge_core.outcomes import Reason
from knapweedbridge_daemon.answers import RefusedError
from knapweedbridge_daemon.body_reading import (
    BodyReader,
    BodyRefusedError,
    BodyTooLargeError,
)

BODY_TIMEOUT_S = 30.0


@dataclass(slots=True, frozen=True)
class ModelBody:
    """The fields of a model request that the daemon reads."""

    model: str
    streamed: bool


async def read_body(bodies: BodyReader, request: Request, max_bytes: int) -> bytes:
    """Read the body of a request.

    Parameters
    ----------
    bodies : BodyReader
        Receives bodies within the memory for them.
    max_bytes : int
        Largest body taken.

    Raises
    ------
    RefusedError
        With `Reason.BODY_TOO_LARGE`, or `Reason.BODY_TIMEOUT` where the body
        did not arrive in `BODY_TIMEOUT_S`, or `Reason.OVERLOAD` where there is
        no memory for it.
    """
    try:
        with anyio.fail_after(BODY_TIMEOUT_S):
            return await bodies.read(request, max_bytes)
    except BodyTooLargeError as error:
        raise RefusedError(Reason.BODY_TOO_LARGE, str(error)) from None
    except BodyRefusedError as error:
        raise RefusedError(Reason.OVERLOAD, str(error)) from None
    except TimeoutError:
        text = f"the body did not arrive within {BODY_TIMEOUT_S:g} s"
        raise RefusedError(Reason.BODY_TIMEOUT, text) from None


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
