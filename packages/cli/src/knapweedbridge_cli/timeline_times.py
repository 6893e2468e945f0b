"""Reads the bounds of time that an operator writes."""

import re
import time
from datetime import UTC, datetime

from knapweedbridge_cli.errors import CommandError, ExitCode

UNITS_S = {"s": 1, "m": 60, "h": 3600, "d": 86400}
_AGO = re.compile(r"(\d+(?:\.\d+)?)([smhd])")
ALLOWED = "as 30s, 5m, 2h or 1d ago, or as 2026-01-31T12:00:00"


def read_time_us(text: str, name: str) -> int | str:
    """Return the wall clock that a text names, in microseconds.

    Parameters
    ----------
    text : str
        A span before now, or a time in ISO form, in UTC where it names no
        zone; an empty one is returned as it is.
    name : str
        Option that holds it.
    """
    if not text:
        return ""
    ago = _AGO.fullmatch(text)
    if ago is not None:
        before_us = float(ago[1]) * UNITS_S[ago[2]] * 1e6
        return time.time_ns() // 1000 - round(before_us)
    try:
        named = datetime.fromisoformat(text)
    except ValueError:
        message = f"--{name}: {text!r}: allowed: {ALLOWED}"
        raise CommandError(message, ExitCode.USAGE) from None
    if named.tzinfo is None:
        named = named.replace(tzinfo=UTC)
    return round(named.timestamp() * 1e6)


def show_time(wall_us: int) -> str:
    """Return a wall clock as text."""
    at = datetime.fromtimestamp(wall_us / 1e6, UTC)
    return at.strftime("%Y-%m-%d %H:%M:%S.%f") + "Z"
