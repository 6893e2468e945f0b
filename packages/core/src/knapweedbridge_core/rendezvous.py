"""Rendezvous hashing: the same choice everywhere, little moved by a change."""

import hashlib
from collections.abc import Iterable


def score(key: str, candidate: str) -> int:
    """Weigh a candidate for a key."""
    text = f"{key}\0{candidate}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


def choose(key: str, candidates: Iterable[str]) -> str | None:
    """Return the candidate of the highest score, or None without candidates."""
    return max(candidates, key=lambda name: (score(key, name), name), default=None)
