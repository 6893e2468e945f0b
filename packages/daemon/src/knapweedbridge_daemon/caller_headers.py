"""What callers may say in the headers of a request."""

import math
import re
from dataclasses import dataclass

from starlette.datastructures import Headers

from knapweedbridge_core.outcomes import Reason
from knapweedbridge_daemon.answers import RefusedError

MAX_DEADLINE_S = 3600.0
MAX_KEY_CHARACTERS = 255

_REQUEST_ID = re.compile(r"[A-Za-z0-9._:/+=-]{1,128}")
_GRPC_TIMEOUT = re.compile(r"([0-9]{1,8})([HMSmun])")
_GRPC_UNIT_S = {"H": 3600.0, "M": 60.0, "S": 1.0, "m": 1e-3, "u": 1e-6, "n": 1e-9}
_URGENCY = re.compile(r"(?:^|[,;\s])u=([0-7])(?=$|[,;\s])")
_PRIORITY_OF_URGENCY = (
    *("interactive",) * 3,
    *("normal",) * 2,
    *("batch",) * 3,
)
_TRUE = frozenset({"?1", "1", "true", "yes"})
_FALSE = frozenset({"?0", "0", "false", "no", ""})


@dataclass(slots=True, frozen=True)
class Asked:
    """What the headers of one request ask for.

    Parameters
    ----------
    within_s : float
        Time the caller gives for the whole answer, in seconds.
    priority : str
        ``interactive``, ``normal`` or ``batch``; empty: not said.
    idempotency_key : str
        Key by which a repeat is known; empty: none.
    non_idempotent : bool
        Whether the caller says that the request may run at most once.
    """

    within_s: float
    priority: str
    idempotency_key: str
    non_idempotent: bool


def read_headers(headers: Headers, default_within_s: float) -> Asked:
    """Read the headers that callers may set.

    Raises
    ------
    RefusedError
        With `Reason.BAD_REQUEST`, naming the header and what is allowed.
    """
    return Asked(
        within_s=_within_s(headers, default_within_s),
        priority=_priority(headers.get("priority", "")),
        idempotency_key=_idempotency_key(headers.get("idempotency-key", "")),
        non_idempotent=_flag(headers, "x-non-idempotent"),
    )


def _within_s(headers: Headers, default_s: float) -> float:
    found = [
        read(name, headers[name])
        for name, read in _DEADLINES.items()
        if name in headers
    ]
    return min([*found, MAX_DEADLINE_S]) if found else default_s


def _seconds(name: str, text: str) -> float:
    return _positive(name, text, 1.0, "seconds")


def _milliseconds(name: str, text: str) -> float:
    return _positive(name, text, 1e-3, "milliseconds")


def _positive(name: str, text: str, unit_s: float, unit: str) -> float:
    # "nan" is a float too, and compares as neither passed nor ahead: a
    # request with such a deadline would wait for ever.
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not (math.isfinite(value) and value > 0):
        raise _refused(name, f"a number of {unit} over 0")
    return value * unit_s


def _grpc_timeout(name: str, text: str) -> float:
    found = _GRPC_TIMEOUT.fullmatch(text)
    if found is None or int(found[1]) == 0:
        raise _refused(name, "up to 8 digits and a unit of H, M, S, m, u or n")
    return int(found[1]) * _GRPC_UNIT_S[found[2]]


_DEADLINES = {
    "x-request-timeout-ms": _milliseconds,
    "x-deadline-s": _seconds,
    "grpc-timeout": _grpc_timeout,
}


def _priority(text: str) -> str:
    # RFC 9218: a value that cannot be read counts as absent.
    found = _URGENCY.search(text)
    return _PRIORITY_OF_URGENCY[int(found[1])] if found else ""


def _idempotency_key(text: str) -> str:
    if len(text) > MAX_KEY_CHARACTERS:
        raise _refused("idempotency-key", f"up to {MAX_KEY_CHARACTERS} characters")
    return text


def _flag(headers: Headers, name: str) -> bool:
    text = headers.get(name, "").strip().lower()
    if text in _TRUE:
        return True
    if text in _FALSE:
        return False
    raise _refused(name, "?1 or ?0")


def request_id_of(headers: Headers) -> str:
    """Return the caller's own name of a request; empty where it has none."""
    text = headers.get("x-request-id", "")
    return text if _REQUEST_ID.fullmatch(text) else ""


def _refused(name: str, allowed: str) -> RefusedError:
    return RefusedError(Reason.BAD_REQUEST, f"{name}: allowed: {allowed}")
