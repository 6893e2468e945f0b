"""Bodies and queries of the administration API, checked whole."""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from starlette.requests import Request

from knapweedbridge_daemon.api_errors import ApiError, ErrorCode
from knapweedbridge_daemon.body_reading import (
    BodyReader,
    BodyRefusedError,
    BodyTooLargeError,
)

MAX_BODY_BYTES = 32 << 20


@dataclass(slots=True, frozen=True)
class FolderBody:
    """A folder, and the generation it refines.

    Parameters
    ----------
    based_on : int or None
        Generation the operator saw; None: the one in force.
    files : dict of str to str
        Texts by file name.
    """

    based_on: int | None
    files: dict[str, str]


@dataclass(slots=True, frozen=True)
class RollbackBody:
    """A generation to put in force again.

    Parameters
    ----------
    generation : int
        The generation whose sections are wanted.
    based_on : int or None
        Generation the operator saw; None: the one in force.
    """

    generation: int
    based_on: int | None


async def read_folder_body(bodies: BodyReader, request: Request) -> FolderBody:
    """Read the body of apply, check and diff; may raise ApiError."""
    body = await _read_object(bodies, request, {"based_on", "files"})
    files = body.get("files")
    if not isinstance(files, dict) or not files:
        raise _bad("files: an object of texts by file name, with one file at least")
    for name, text in files.items():
        if not isinstance(text, str):
            raise _bad(f"files: {name}: a text")
    return FolderBody(_optional_generation(body, "based_on"), files)


async def read_rollback_body(bodies: BodyReader, request: Request) -> RollbackBody:
    """Read the body of rollback; may raise ApiError."""
    body = await _read_object(bodies, request, {"based_on", "generation"})
    generation = _optional_generation(body, "generation")
    if generation is None:
        raise _bad("generation: missing; a whole number from 0")
    return RollbackBody(generation, _optional_generation(body, "based_on"))


async def read_host_body(bodies: BodyReader, request: Request) -> str:
    """Read the body of drain, which names the host; may raise ApiError."""
    body = await _read_object(bodies, request, {"host"})
    host = body.get("host")
    if not isinstance(host, str):
        raise _bad("host: the name of the daemon's host, a text")
    return host


def read_number(query: Mapping[str, str], name: str, default: int, highest: int) -> int:
    """Read a whole number of a query; may raise ApiError."""
    text = query.get(name)
    if text is None:
        return default
    if not text.isdecimal() or int(text) > highest:
        raise _bad(f"{name}: {text!r}: a whole number from 0 to {highest}")
    return int(text)


def check_query(query: Mapping[str, str], allowed: tuple[str, ...]) -> None:
    """Raise ApiError for a parameter that the call does not take."""
    for name in query:
        if name not in allowed:
            raise _bad(f"{name}: unknown parameter; allowed: {', '.join(allowed)}")


async def _read_object(
    bodies: BodyReader, request: Request, allowed: set[str]
) -> dict[str, Any]:
    try:
        raw = await bodies.read(request, MAX_BODY_BYTES)
    except BodyTooLargeError as error:
        raise ApiError(ErrorCode.TOO_LARGE, str(error)) from None
    except BodyRefusedError as error:
        raise ApiError(ErrorCode.OVERLOAD, str(error)) from None
    try:
        body = json.loads(raw)
    except (ValueError, RecursionError) as error:
        raise _bad(f"the body is no JSON: {error}") from None
    if not isinstance(body, dict):
        raise _bad("the body must be a JSON object")
    for name in body:
        if name not in allowed:
            raise _bad(f"{name}: unknown; allowed: {', '.join(sorted(allowed))}")
    return body


def _optional_generation(body: dict[str, Any], name: str) -> int | None:
    value = body.get(name)
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise _bad(f"{name}: {value!r}: a whole number from 0")
    return value


def _bad(message: str) -> ApiError:
    return ApiError(ErrorCode.BAD_REQUEST, message)
