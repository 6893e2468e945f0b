"""Calls that crash the endpoints that run them, and who tells whom of it.

A caller sends such a call again and again, by any daemon; each time an endpoint is
lost with all that it ran. Those others are blamed as well, but only once: with two
losses a call is refused, and what is innocent is hardly ever lost twice. A few keepers
publish in the platform's store what is refused, for hosts that start later or did not
hear the others.
"""

import hashlib
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from knapweedbridge_core.blame import Blame, Verdict
from knapweedbridge_core.rendezvous import choose_spread
from knapweedbridge_core.serving.endpoint_records import EndpointStart

LAPSE_S = 60.0
"""How long blame holds at first; callers give up on such a call within seconds."""

LONGEST_LAPSE_S = 86_400.0
"""Longest refusal: each that lapses costs one more endpoint."""

PROOF_S = 6.0
"""Longest time from a call's end to the proof that its endpoint was lost by then. The
entry of an endpoint that is silent lapses after three heartbeats of 1.2 s, is removed
within a second, and a relay tells of it within another."""

ENDINGS_KEPT = 1000

SEPARATOR = "-"

SENDERS_REFUSED = 2
"""Addresses by each of which a request has crashed an endpoint, without an answer by
any, so that it is refused by whichever address it comes."""

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


def asked_of(mark: str) -> str:
    """Return the part of a mark that is the same for all addresses of a caller."""
    return mark.partition(SEPARATOR)[0]


@dataclass(slots=True, frozen=True)
class Ending:
    """A call that ended at a start of an endpoint without a whole answer."""

    fingerprint: str
    start: EndpointStart
    at_s: float

    def is_recent(self, now_s: float) -> bool:
        """Return whether a loss that shows now may have ended it."""
        return now_s - self.at_s <= PROOF_S


def refusal_keepers(mark: str, candidates: Mapping[str, Sequence[str]]) -> list[str]:
    """Name the hosts that publish the refusal of a call, in the order in which they do.

    Parameters
    ----------
    candidates : dict of str to sequence of str
        Hosts that may, by data centre.
    """
    return choose_spread(asked_of(mark), candidates, KEEPERS)


def loss_id(start: EndpointStart) -> str:
    """Return what the loss of a start of an endpoint is known by on all hosts."""
    return f"{start.endpoint} {start.started_ms}"


class CrashLedger:
    """What one daemon knows of calls that were lost with their endpoints."""

    def __init__(self) -> None:
        self._blame = Blame(LAPSE_S, longest_lapse_s=LONGEST_LAPSE_S)
        self._published: dict[str, float] = {}
        self._senders: dict[str, dict[str, set[str]]] = {}
        self._endings: deque[Ending] = deque(maxlen=ENDINGS_KEPT)
        self._lost: dict[EndpointStart, float] = {}

    def ended(self, mark: str, start: EndpointStart, now_s: float) -> bool:
        """Record that a call ended at an endpoint without a whole answer.

        It broke off, or nobody waits for it any more: the endpoint may be silent.

        Returns
        -------
        is_blamed : bool
            Whether the endpoint's loss was known before, so that the call is blamed.
        """
        if any(
            each.may_be(start) and now_s - at_s <= PROOF_S
            for each, at_s in self._lost.items()
        ):
            self.told(mark, loss_id(start), now_s)
            return True
        self._endings.append(Ending(mark, start, now_s))
        return False

    def has_broken(self, endpoint: str, now_s: float) -> bool:
        """Return whether a call has ended badly at an endpoint of late."""
        return any(
            each.start.endpoint == endpoint and each.is_recent(now_s)
            for each in self._endings
        )

    def lost(self, start: EndpointStart, now_s: float) -> dict[str, list[str]]:
        """Record that an endpoint is lost; return the calls that are to be blamed.

        Parameters
        ----------
        start : EndpointStart
            Which start of it; without a time, any.

        Returns
        -------
        dict of str to list of str
            Marks of calls, by loss.
        """
        recent = self._lost.items()
        self._lost = {each: at_s for each, at_s in recent if now_s - at_s <= PROOF_S}
        self._lost[start] = now_s
        found: dict[str, list[str]] = {}
        kept: list[Ending] = []
        for each in self._endings:
            if not each.start.may_be(start):
                kept.append(each)
            elif each.is_recent(now_s):
                marks = found.setdefault(loss_id(each.start), [])
                if each.fingerprint not in marks:
                    marks.append(each.fingerprint)
                    self.told(each.fingerprint, loss_id(each.start), now_s)
        self._endings = deque(kept, maxlen=ENDINGS_KEPT)
        return found

    def told(self, mark: str, loss: str, now_s: float) -> None:
        """Blame a call for the loss of an endpoint, here or at another daemon."""
        asked = asked_of(mark)
        for each in (mark, asked):
            self._blame.suspect(each, loss, loss, now_s)
            self._blame.proved(each, loss)
        losses = self._senders.setdefault(asked, {})
        losses.setdefault(loss, set()).add(mark)

    def answered(self, mark: str) -> bool:
        """Record that a call got a whole answer, so that it crashes nothing.

        Returns
        -------
        was_known : bool
            Whether anything was held against it.
        """
        asked = asked_of(mark)
        self._senders.pop(asked, None)
        was_known = False
        for each in (mark, asked):
            was_published = self._published.pop(each, None) is not None
            was_known = self._blame.clear(each) or was_published or was_known
        return was_known

    def published(self, mark: str, for_s: float, now_s: float) -> None:
        """Record that the store says for how long a call is refused."""
        self._published[mark] = now_s + for_s

    def unpublished(self, mark: str) -> None:
        """Record that the store says nothing of a call any more."""
        self._published.pop(mark, None)

    def to_publish(self, now_s: float) -> dict[str, float]:
        """Return the calls that the store should refuse and does not, and for how long.

        Returns
        -------
        dict of str to float
            Seconds by mark, or by the part of it that is the same for all addresses.
        """
        self._lapse(now_s)
        return {
            each: self._blame.refused_for_s(each, now_s)
            for each in self._blame.refused(now_s)
            if each not in self._published and self._is_decided(each)
        }

    def _lapse(self, now_s: float) -> None:
        self._blame.lapse(now_s)
        if len(self._senders) > len(self._blame):
            known = self._senders.items()
            self._senders = {each: s for each, s in known if self._blame.knows(each)}

    def _is_decided(self, mark: str) -> bool:
        """Return whether losses count against a mark; see `SENDERS_REFUSED`.

        A loss that two addresses share counts for none: one may have run beside it.
        """
        if SEPARATOR in mark:
            return True
        losses = self._senders.get(mark, {}).values()
        alone = {next(iter(each)) for each in losses if len(each) == 1}
        return len(alone) >= SENDERS_REFUSED

    def refused_for_s(self, mark: str, now_s: float) -> float:
        """Return for how long a call is refused; 0 where it may run."""
        parts = mark, asked_of(mark)
        return max(self._refused_for_s(each, now_s) for each in parts)

    def _refused_for_s(self, mark: str, now_s: float) -> float:
        published_s = max(0.0, self._published.get(mark, 0.0) - now_s)
        if not (self._blame.knows(mark) and self._is_decided(mark)):
            return published_s
        self._lapse(now_s)
        if self._blame.judge(mark, now_s) is not Verdict.REFUSE:
            return published_s
        return max(published_s, self._blame.refused_for_s(mark, now_s))
