"""Fingerprints of requests, and the hosts that publish their refusal."""

import hashlib
from collections.abc import Mapping, Sequence

from knapweedbridge_core.rendezvous import choose_spread

SEPARATOR = "-"

PUBLISHERS = 3
"""Hosts that publish the refusal of one request, spread over the data centres."""


def fingerprint(
    account: str, sender: str, host: str, method: bytes, target: bytes, body: bytes
) -> str:
    """Return the fingerprint of a request, which is the same on all hosts.

    It includes the caller, because the same lookup from other callers may be harmless.
    The digest of the request comes first, because a caller may use another address.

    Parameters
    ----------
    account : str
        Client account of the request; empty: none.
    sender : str
        Network address of its caller.
    host, method, target, body : str, bytes, bytes, bytes
        Host, method, target and body of the request.
    """
    parts = (account.encode(), host.encode(), method, target)
    lengths = b",".join(b"%d" % len(part) for part in parts)
    digest = hashlib.blake2b(b"\0".join((lengths, *parts, body)), digest_size=16)
    caller = hashlib.blake2b(sender.encode(), digest_size=8)
    return f"{digest.hexdigest()}{SEPARATOR}{caller.hexdigest()}"


def request_digest(mark: str) -> str:
    """Return the digest of the request, without that of the caller's address."""
    return mark.partition(SEPARATOR)[0]


def refusal_publishers(mark: str, candidates: Mapping[str, Sequence[str]]) -> list[str]:
    """Return the hosts that publish the refusal of a request, in order of precedence.

    Parameters
    ----------
    candidates : dict of str to sequence of str
        Hosts that may publish refusals, by data centre.
    """
    return choose_spread(request_digest(mark), candidates, PUBLISHERS)
