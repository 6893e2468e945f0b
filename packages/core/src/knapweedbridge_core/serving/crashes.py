"""Calls that crash the endpoints that run them, and who tells whom of it.

A caller sends such a call again and again, by any daemon; each time an endpoint is
lost with all that it ran. Those others are blamed as well, but only once: with two
losses a call is refused, and what is innocent is hardly ever lost twice. A few keepers
publish in the platform's store what is refused, for hosts that start later or did not
hear the others. Calls that share a deadly part of their prompts are each new: see
`crash_parts`.
"""

import math
from collections import OrderedDict, deque
from collections.abc import Iterable, Sequence
from itertools import takewhile

from knapweedbridge_core.blame import LOSSES_REFUSED, Blame, Verdict
from knapweedbridge_core.serving.endpoint_records import EndpointStart
from knapweedbridge_core.serving.fingerprinting import SEPARATOR, request_digest
from knapweedbridge_core.serving.incomplete_calls import (
    LOSS_PROOF_TIMEOUT_S,
    VERDICT_TIMEOUT_S,
    IncompleteCall,
    LossEvidence,
    loss_id,
)
from knapweedbridge_core.serving.loss_counting import MOMENT_S, count_losses
from knapweedbridge_core.serving.part_ledger import (
    MAX_CALLS_PER_LOSS,
    SETTLE_S,
    PartLedger,
)
from knapweedbridge_core.serving.suspect_parts import LostCall, refused_parts

LAPSE_S = 60.0
"""How long blame holds at first; callers give up on such a call within seconds."""

LONGEST_LAPSE_S = 86_400.0
"""Longest refusal: each that lapses costs one more endpoint."""


ENDINGS_KEPT = 1000
MOMENTS_KEPT = 512
"""Losses whose times are kept, to tell which endpoints ended together."""


SENDERS_REFUSED = 2
"""Addresses by each of which a request has crashed an endpoint, without an answer by
any, so that it is refused by whichever address it comes."""


class CrashLedger:
    """What one daemon knows of calls that were lost with their endpoints.

    Attributes
    ----------
    parts : PartLedger
        What it knows of the parts of their prompts.
    """

    def __init__(self) -> None:
        self.parts = PartLedger()
        self.parts.losses_s = lambda: list(self._moments.values())
        self._blame = Blame(LAPSE_S, longest_lapse_s=LONGEST_LAPSE_S)
        self._published: dict[str, float] = {}
        self._held: dict[str, float] = {}
        self._senders: dict[str, dict[str, set[str]]] = {}
        self._endings: deque[IncompleteCall] = deque(maxlen=ENDINGS_KEPT)
        self._lost: dict[EndpointStart, float] = {}
        self._moments: OrderedDict[str, float] = OrderedDict()

    def ended(
        self,
        mark: str,
        start: EndpointStart,
        now_s: float,
        parts: tuple[str, ...] = (),
        sent_s: float = -math.inf,
        is_closed: bool = True,
        is_judged: bool = True,
    ) -> LossEvidence | None:
        """Record that a call ended at an endpoint without a whole answer.

        It broke off, or nobody waits for it any more: the endpoint may be silent.

        Parameters
        ----------
        parts, sent_s, is_closed, is_judged
            As in `IncompleteCall`.

        Returns
        -------
        found : LossEvidence or None
            What is held for the endpoint's loss, where that was known before.
        """
        ending = IncompleteCall(mark, start, now_s, parts, sent_s, is_closed, is_judged)
        lost_s = [
            at_s
            for each, at_s in self._lost.items()
            if each.may_be(start) and now_s - at_s <= LOSS_PROOF_TIMEOUT_S
        ]
        if not lost_s:
            self._endings.append(ending)
            return None
        found = LossEvidence(min(lost_s))
        if sent_s < found.at_s:
            self._hold(found, ending, now_s)
        return found

    def _hold(self, found: LossEvidence, ending: IncompleteCall, now_s: float) -> None:
        """Hold a loss against a call, and against the parts of its prompt."""
        if ending.fingerprint in found.marks:
            return
        found.marks.append(ending.fingerprint)
        self.told(ending.fingerprint, loss_id(ending.start), found.at_s)
        parts = tuple(self.parts.unproven(ending.parts, now_s))
        if parts and len(found.calls) < MAX_CALLS_PER_LOSS:
            call = LostCall(request_digest(ending.fingerprint), parts)
            found.calls.append(call)
            self.parts.blamed(loss_id(ending.start), [call], found.at_s)

    def has_recent_failure(self, endpoint: str, now_s: float) -> bool:
        """Return whether a call has ended badly at an endpoint of late."""
        return any(
            each.start.endpoint == endpoint and each.is_recent(now_s)
            for each in self._endings
        )

    def is_verdict_pending(self, mark: str, parts: Sequence[str], now_s: float) -> bool:
        """Return whether a loss is about to be judged that a call may have caused."""
        unproven = set(self.parts.unproven(parts, now_s))
        recent = takewhile(
            lambda each: now_s - each.at_s < VERDICT_TIMEOUT_S, reversed(self._endings)
        )
        is_open = any(
            each.is_awaited(now_s)
            and (each.fingerprint == mark or not unproven.isdisjoint(each.parts))
            for each in recent
        )
        if is_open or self.parts.verdict_due_s(parts, now_s):
            return True
        marks = mark, request_digest(mark)
        return any(self._held.get(each, 0.0) > now_s for each in marks) or not all(
            self._is_settled(each, now_s) for each in marks
        )

    def hold(self, marks: Iterable[str], parts: Iterable[str], now_s: float) -> None:
        """Record that a host has a loss to judge that suspects may have caused."""
        until_s = now_s + VERDICT_TIMEOUT_S
        held = self._held.items()
        self._held = {each: end_s for each, end_s in held if end_s > now_s}
        self._held |= {each: until_s for each in marks if self._blame.knows(each)}
        self.parts.hold(parts, until_s, now_s)

    def find_suspects(
        self, mark: str, parts: Sequence[str], now_s: float
    ) -> tuple[str, ...]:
        """Return what of a call a loss is held against."""
        asked = request_digest(mark)
        own = (asked,) if self._blame.knows(asked) else ()
        return own + tuple(self.parts.suspected(parts, now_s))

    def record_alive(self, start: EndpointStart, by_s: float) -> None:
        """Record that an endpoint runs on, although calls ended there by a moment."""
        for each in self._endings:
            if each.start.may_be(start) and each.at_s <= by_s:
                each.is_judged = True
                each.is_closed = False

    def lost(self, start: EndpointStart, now_s: float) -> dict[str, LossEvidence]:
        """Record that an endpoint is lost; return what is held for it.

        Parameters
        ----------
        start : EndpointStart
            Which start of it; without a time, any.

        Returns
        -------
        dict of str to LossEvidence
            By loss.
        """
        of_start = [each for each in self._endings if each.start.may_be(start)]
        recent = [each for each in of_start if each.is_recent(now_s)]
        first_s = self._broke_s(recent, now_s)
        known = self._lost.items()
        self._lost = {
            each: at_s for each, at_s in known if now_s - at_s <= LOSS_PROOF_TIMEOUT_S
        }
        self._lost.setdefault(start, first_s)
        self.record_loss_time(start.endpoint, first_s)
        found: dict[str, LossEvidence] = {}
        for each in recent:
            # What was sent when others had broken off already came to a lost endpoint.
            if each.sent_s < first_s:
                loss = found.setdefault(loss_id(each.start), LossEvidence(first_s))
                self._hold(loss, each, now_s)
        kept = (each for each in self._endings if not each.start.may_be(start))
        self._endings = deque(kept, maxlen=ENDINGS_KEPT)
        return found

    @staticmethod
    def _broke_s(endings: Sequence[IncompleteCall], now_s: float) -> float:
        """Return when the connections to an endpoint that is lost broke.

        Those that broke long before the last of them, and callers who left, show
        nothing of it.
        """
        closed_s = [each.at_s for each in endings if each.is_closed]
        last_s = max(closed_s, default=now_s)
        return min(
            (at_s for at_s in closed_s if last_s - at_s <= MOMENT_S), default=now_s
        )

    def record_loss_time(self, endpoint: str, at_s: float) -> None:
        """Record when an endpoint was lost, whatever is held for that."""
        self._moments.setdefault(endpoint, at_s)
        while len(self._moments) > MOMENTS_KEPT:
            self._moments.popitem(last=False)

    def told(self, mark: str, loss: str, now_s: float) -> None:
        """Blame a call for the loss of an endpoint, here or at another daemon."""
        asked = request_digest(mark)
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
        asked = request_digest(mark)
        self._senders.pop(asked, None)
        was_known = False
        for each in (mark, asked):
            was_published = self._published.pop(each, None) is not None
            was_known = self._blame.clear(each) or was_published or was_known
        return was_known

    def record_published(self, mark: str, for_s: float, now_s: float) -> None:
        """Record that the store says for how long a call is refused."""
        if refused_parts(mark):
            self.parts.record_published(mark, for_s, now_s)
        else:
            self._published[mark] = now_s + for_s

    def record_unpublished(self, mark: str, now_s: float) -> None:
        """Record that the store says nothing of a call any more."""
        if refused_parts(mark):
            self.parts.record_unpublished(mark, now_s)
        else:
            self._published.pop(mark, None)

    def to_publish(self, now_s: float) -> dict[str, float]:
        """Return the calls that the store should refuse and does not, and for how long.

        Returns
        -------
        dict of str to float
            Seconds by mark, or by the part of it that is the same for all addresses.
        """
        self._lapse(now_s)
        return self.parts.to_publish(now_s) | {
            each: self._blame.refused_for_s(each, now_s)
            for each in self._blame.refused(now_s)
            if each not in self._published
            and self._is_decided(each)
            and self._is_settled(each, now_s)
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
        if not self._blame.was_refused(mark):
            losses_s = self._blame.losses_s(mark)
            if count_losses(losses_s, list(self._moments.values())) < LOSSES_REFUSED:
                return False
        if SEPARATOR in mark:
            return True
        losses = self._senders.get(mark, {}).values()
        alone = {next(iter(each)) for each in losses if len(each) == 1}
        return len(alone) >= SENDERS_REFUSED

    def _is_settled(self, mark: str, now_s: float) -> bool:
        """Return whether the losses of the moment in which a mark had its last show."""
        losses_s = self._blame.losses_s(mark)
        is_decisive = len(losses_s) == LOSSES_REFUSED
        return not is_decisive or now_s >= max(losses_s) + SETTLE_S

    def refused_for_s(
        self, mark: str, now_s: float, parts: Sequence[str] = ()
    ) -> float:
        """Return for how long a call is refused; 0 where it may run.

        Parameters
        ----------
        parts : sequence of str
            Marks of the shared parts of its prompt.
        """
        marks = mark, request_digest(mark)
        by_marks_s = max(self._refused_for_s(each, now_s) for each in marks)
        return max(by_marks_s, self.parts.refused_for_s(parts, now_s))

    def _refused_for_s(self, mark: str, now_s: float) -> float:
        published_s = max(0.0, self._published.get(mark, 0.0) - now_s)
        if not (self._blame.knows(mark) and self._is_decided(mark)):
            return published_s
        if not self._is_settled(mark, now_s):
            return published_s
        self._lapse(now_s)
        if self._blame.judge(mark, now_s) is not Verdict.REFUSE:
            return published_s
        return max(published_s, self._blame.refused_for_s(mark, now_s))
