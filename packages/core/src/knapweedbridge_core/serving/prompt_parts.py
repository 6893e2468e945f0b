"""What the parts of a prompt that several requests share are known by."""

import hashlib
from collections.abc import Sequence

PART_PREFIX = "part"
"""Begins the marks of parts, which stand beside those of whole requests."""

MOST_PARTS = 32
"""Parts of one prompt that are told apart."""


def part_mark(part: str) -> str:
    """Return the digest that a part of prompts is known by on all hosts."""
    return hashlib.blake2b(part.encode(), digest_size=8).hexdigest()


def shared_parts(parts: Sequence[tuple[str, int]]) -> tuple[str, ...]:
    """Return the marks of the parts that other requests may share: all but the last.

    Parameters
    ----------
    parts : sequence of (str, int)
        Ids and tokens of the parts of a prompt, in order.
    """
    marks = (part_mark(part) for part, _ in parts[:-1][:MOST_PARTS])
    return tuple(dict.fromkeys(marks))
