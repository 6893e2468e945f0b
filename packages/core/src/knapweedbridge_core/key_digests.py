"""Keys that callers and operators show; only their digests are kept."""

import hashlib

BEARER = "bearer"


def digest_key(key: str) -> str:
    """Return the SHA-256 of a key, as configurations hold it."""
    return hashlib.sha256(key.encode()).hexdigest()


def bearer_key_digest(authorization: str) -> str:
    """Return the digest of the key in an Authorization header; empty: it has none."""
    scheme, _, key = authorization.strip().partition(" ")
    key = key.strip()
    return digest_key(key) if key and scheme.lower() == BEARER else ""
