"""Digests of the prompt parts that several requests share."""

import hashlib
from collections.abc import Sequence

PART_PREFIX = "part"
"""Prefix that distinguishes refusals of prompt parts from those of whole requests."""

MAX_PARTS = 32
"""Most parts of one prompt that are distinguished."""


def part_digest(part: str) -> str:
    """Return the digest of a prompt part, which is the same on all hosts."""
    return hashlib.blake2b(part.encode(), digest_size=8).hexdigest()


def shared_parts(parts: Sequence[tuple[str, int]]) -> tuple[str, ...]:
    """Return the digests of the parts that other requests may share: all but the last.

    Parameters
    ----------
    parts : sequence of (str, int)
        Ids and token counts of the parts of a prompt, in order.
    """
    digests = (part_digest(part) for part, _ in parts[:-1][:MAX_PARTS])
    return tuple(dict.fromkeys(digests))
