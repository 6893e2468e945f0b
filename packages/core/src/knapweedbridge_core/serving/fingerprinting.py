"""What a call is known by when it comes again, and which hosts publish its refusal."""

import hashlib
from collections.abc import Mapping, Sequence

from knapweedbridge_core.rendezvous import choose_spread

SEPARATOR = "-"

KEEPERS = 3
"""Hosts that count the losses of one call, in as many data centres as there are."""


def fingerprint(
    account: str, sender: str, host: str, method: bytes, target: bytes, body: bytes
) -> str:
    """Return what a call is known by when it comes again, by any host.

    Its caller counts: others send the same look-up, and theirs may do no harm. The mark
    of what is asked for comes first, as a caller may come by another address.

    Parameters
    ----------
    account : str
        Client account that it runs for; empty: none.
    sender : str
        Network address of its caller.
    host, method, target, body : str, bytes, bytes, bytes
        What it asks for.
    """
    parts = (account.encode(), host.encode(), method, target)
    lengths = b",".join(b"%d" % len(part) for part in parts)
    asked = hashlib.blake2b(b"\0".join((lengths, *parts, body)), digest_size=16)
    caller = hashlib.blake2b(sender.encode(), digest_size=8)
    return f"{asked.hexdigest()}{SEPARATOR}{caller.hexdigest()}"


def request_digest(mark: str) -> str:
    """Return the part of a mark that is the same for all addresses of a caller."""
    return mark.partition(SEPARATOR)[0]


def refusal_publishers(mark: str, candidates: Mapping[str, Sequence[str]]) -> list[str]:
    """Name the hosts that publish the refusal of a call, in the order in which they do.

    Parameters
    ----------
    candidates : dict of str to sequence of str
        Hosts that may, by data centre.
    """
    return choose_spread(request_digest(mark), candidates, KEEPERS)
