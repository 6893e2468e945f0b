"""Keys that callers and operators show; only their hashes are kept."""

import hashlib
from collections.abc import Mapping

from knapweedbridge_core.configuration import Configuration, KeyEntry


def hash_key(key: str) -> str:
    """Return the SHA-256 of a key, as the configuration holds it."""
    return hashlib.sha256(key.encode()).hexdigest()


def bearer_key(
    headers: Mapping[str, str], configuration: Configuration
) -> KeyEntry | None:
    """Return what the key in an Authorization header may do, or None."""
    scheme, _, key = headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer":
        return None
    return configuration.keys_by_hash.get(hash_key(key.strip()))
