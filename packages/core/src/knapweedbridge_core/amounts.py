"""Numbers that come from outside, kept to what messages and logs can hold.

Messages between daemons and lines of the log hold whole numbers of 64 bits.
"""

import re

MAX_AMOUNT = 10**15
"""Largest number that is kept. Sums over all calls of a daemon still fit into 64
bits."""

_DIGITS = re.compile(r"[0-9]+")


def read_amount(text: str) -> int:
    """Return the whole number of a text, at most `MAX_AMOUNT`.

    Raises
    ------
    ValueError
        If the text is not a whole number of decimal digits.
    """
    digits = text.strip()
    if _DIGITS.fullmatch(digits) is None:
        raise ValueError(f"{text[:50]!r} is no whole number")
    # The conversion of thousands of digits is refused by the interpreter.
    significant = digits.lstrip("0") or "0"
    return min(int(significant[: len(str(MAX_AMOUNT)) + 1]), MAX_AMOUNT)


def check_amount(value: object) -> int:
    """Return a whole number that was decoded, if it can be kept.

    Raises
    ------
    TypeError
        If the value is not a whole number.
    ValueError
        If it is below zero or above `MAX_AMOUNT`.
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"{value!r:.50} is no whole number")
    if not 0 <= value <= MAX_AMOUNT:
        raise ValueError(f"{value!r:.50} is out of range")
    return value
