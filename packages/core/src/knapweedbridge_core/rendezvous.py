"""Rendezvous hashing: the same choice everywhere, little moved by a change."""

import hashlib
from collections.abc import Iterable, Mapping, Sequence


def score(key: str, candidate: str) -> int:
    """Weigh a candidate for a key."""
    text = f"{key}\0{candidate}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


def choose_spread(
    key: str, candidates: Mapping[str, Sequence[str]], count: int
) -> list[str]:
    """Return candidates for a key, in a fixed order, of as many groups as there are.

    Parameters
    ----------
    candidates : dict of str to sequence of str
        Candidates by group.
    count : int
        Most that are returned.
    """
    ordered: list[tuple[int, int, str]] = []
    for names in candidates.values():
        scored = sorted(((score(key, name), name) for name in names), reverse=True)
        # The first of each group come before the second of any.
        ordered += [(place, -found, name) for place, (found, name) in enumerate(scored)]
    return [name for _, _, name in sorted(ordered)[:count]]


def choose(key: str, candidates: Iterable[str]) -> str | None:
    """Return the candidate of the highest score, or None without candidates."""
    return max(candidates, key=lambda name: (score(key, name), name), default=None)
