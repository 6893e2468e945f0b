"""Calls that crash the endpoints that run them, and who tells whom of it.

A caller sends such a call again and again, by any daemon; each time an endpoint is
lost with all that it ran. Those others are blamed as well, but only once: with two
losses a call is refused, and what is innocent is hardly ever lost twice.
"""

import hashlib
from collections import deque
from dataclasses import dataclass

from knapweedbridge_core.blame import Blame, Verdict

LAPSE_S = 60.0
"""How long blame holds; callers give up on such a call within seconds."""

PROOF_S = 4.0
"""How long after a call broke its endpoint's loss may show: an entry lapses after
three heartbeats of 1.2 s."""


def fingerprint(
    account: str, sender: str, host: str, method: bytes, target: bytes, body: bytes
) -> str:
    """Return what a call is known by when it comes again, by any host.

    Its caller counts: others send the same look-up, and theirs may do no harm.

    Parameters
    ----------
    account : str
        Client account that it runs for; empty: none.
    sender : str
        Network address of its caller.
    host, method, target, body : str, bytes, bytes, bytes
        What it asks for.
    """
    parts = (account.encode(), sender.encode(), host.encode(), method, target)
    lengths = b",".join(b"%d" % len(part) for part in parts)
    told = b"\0".join((lengths, *parts, body))
    return hashlib.blake2b(told, digest_size=16).hexdigest()


@dataclass(slots=True, frozen=True)
class Broke:
    """A call that broke off at an endpoint."""

    fingerprint: str
    endpoint: str
    at_s: float


class CrashLedger:
    """What one daemon knows of calls that were lost with their endpoints."""

    def __init__(self) -> None:
        self._blame = Blame(lapse_s=LAPSE_S)
        self._broke: deque[Broke] = deque(maxlen=1000)

    def broke(self, mark: str, endpoint: str, now_s: float) -> None:
        """Note that a call broke off; the endpoint may have been lost with it."""
        if mark:
            self._broke.append(Broke(mark, endpoint, now_s))

    def has_broken(self, endpoint: str, now_s: float) -> bool:
        """Return whether a call has broken off at an endpoint of late."""
        return any(
            each.endpoint == endpoint and now_s - each.at_s <= PROOF_S
            for each in self._broke
        )

    def lost(self, endpoint: str, now_s: float) -> list[str]:
        """Take that an endpoint is lost; return the calls that are to be blamed."""
        found = [
            each.fingerprint
            for each in self._broke
            if each.endpoint == endpoint and now_s - each.at_s <= PROOF_S
        ]
        kept = [each for each in self._broke if each.endpoint != endpoint]
        self._broke = deque(kept, maxlen=self._broke.maxlen)
        for mark in found:
            self.told(mark, endpoint, now_s)
        return found

    def told(self, mark: str, endpoint: str, now_s: float) -> None:
        """Blame a call for an endpoint's loss, here or at another daemon."""
        self._blame.suspect(mark, endpoint, endpoint, now_s)
        self._blame.proved(mark, endpoint)

    def refused_for_s(self, mark: str, now_s: float) -> float:
        """Return for how long a call is refused; 0 where it may run."""
        if not mark:
            return 0.0
        self._blame.lapse(now_s)
        if self._blame.judge(mark, now_s) is not Verdict.REFUSE:
            return 0.0
        return self._blame.refused_for_s(mark, now_s)
