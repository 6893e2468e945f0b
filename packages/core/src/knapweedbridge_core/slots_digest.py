"""A short stand-in for the names that an endpoint holds."""

from collections.abc import Iterable
from hashlib import blake2b

from knapweedbridge_core.names import AdapterVersion

DIGEST_BYTES = 4


def slots_digest(loaded: Iterable[AdapterVersion]) -> int:
    """Return a number of 32 bits that differs when the names do, but for chance."""
    names = "\n".join(sorted(str(model) for model in loaded))
    return int.from_bytes(blake2b(names.encode(), digest_size=DIGEST_BYTES).digest())
