"""Digests of the API keys of callers and operators; keys are not stored."""

import hashlib

BEARER = "bearer"


def digest_key(key: str) -> str:
    """Return the SHA-256 digest of a key in hexadecimal, as in configurations."""
    return hashlib.sha256(key.encode()).hexdigest()


def bearer_key_digest(authorization: str) -> str:
    """Return the digest of the key in an Authorization header; empty without a key."""
    scheme, _, key = authorization.strip().partition(" ")
    key = key.strip()
    return digest_key(key) if key and scheme.lower() == BEARER else ""
