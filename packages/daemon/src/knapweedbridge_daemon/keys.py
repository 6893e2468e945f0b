"""What the keys that callers and operators show may do."""

from collections.abc import Mapping

from knapweedbridge_core.configuration import Configuration, KeyEntry
from knapweedbridge_core.key_digests import bearer_key_digest


def bearer_key(
    headers: Mapping[str, str], configuration: Configuration
) -> KeyEntry | None:
    """Return what the key in an Authorization header may do, or None."""
    digest = bearer_key_digest(headers.get("authorization", ""))
    return configuration.keys_by_hash.get(digest)
