"""Rendezvous hashing.

All daemons choose alike, and a change of the candidates moves few keys.
"""

import hashlib
from collections.abc import Iterable, Mapping, Sequence


def score(key: str, candidate: str) -> int:
    """Return the score of a candidate for a key."""
    text = f"{key}\0{candidate}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


def choose_spread(
    key: str, candidates: Mapping[str, Sequence[str]], count: int
) -> list[str]:
    """Return the best candidates for a key, spread over as many groups as possible.

    Parameters
    ----------
    candidates : dict of str to sequence of str
        Candidates by group.
    count : int
        Maximum number of candidates to return.
    """
    ordered: list[tuple[int, int, str]] = []
    for names in candidates.values():
        scored = sorted(((score(key, name), name) for name in names), reverse=True)
        # The best of each group sort before the second best of any group.
        ordered += [(rank, -found, name) for rank, (found, name) in enumerate(scored)]
    return [name for _, _, name in sorted(ordered)[:count]]


def choose(key: str, candidates: Iterable[str]) -> str | None:
    """Return the candidate with the highest score, or None without candidates."""
    return max(candidates, key=lambda name: (score(key, name), name), default=None)
