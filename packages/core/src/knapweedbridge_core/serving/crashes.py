"""Ledger of requests that crash the endpoints which run them.

A caller retries such a request through any daemon, and each time an endpoint is lost
with all requests that it ran. All of them are blamed for the loss. A request is refused
after two losses, since a harmless one is hardly ever lost twice. A few hosts publish
refusals in the platform's store, for hosts that start later or missed the messages. For
different requests that share a deadly part of their prompts see `part_ledger`.
"""

import math
from collections import OrderedDict, deque
from collections.abc import Iterable, Sequence
from itertools import takewhile

from knapweedbridge_core.serving.endpoint_records import EndpointStart
from knapweedbridge_core.serving.fingerprinting import SEPARATOR, request_digest
from knapweedbridge_core.serving.incomplete_calls import (
    LOSS_PROOF_TIMEOUT_S,
    VERDICT_TIMEOUT_S,
    IncompleteCall,
    LossEvidence,
    loss_id,
)
from knapweedbridge_core.serving.loss_counting import SIMULTANEOUS_S, count_losses
from knapweedbridge_core.serving.part_ledger import (
    MAX_CALLS_PER_LOSS,
    SETTLE_S,
    PartLedger,
)
from knapweedbridge_core.serving.suspect_parts import LostCall, refused_parts
from knapweedbridge_core.suspects import LOSSES_REFUSED, SuspectTable, Verdict

FIRST_REFUSAL_S = 60.0
"""Duration of the first refusal; callers give up on a request within seconds."""

MAX_REFUSAL_S = 86_400.0
"""Longest refusal: each one that expires costs another endpoint."""


MAX_INCOMPLETE = 1000
MAX_LOSS_TIMES = 512
"""Losses whose times are kept, to detect simultaneous ones."""


MIN_SENDERS = 2
"""Caller addresses from each of which a request must have crashed an endpoint, with no
response to any, before it is refused from all addresses."""


SHARED_LOSSES_REFUSED = 3
"""Losses of which no single address was part, after which a request is refused from all
addresses although several of them shared each loss."""


class CrashLedger:
    """What one daemon knows about requests that were lost with their endpoints.

    Attributes
    ----------
    parts : PartLedger
        What it knows about the parts of their prompts.
    """

    def __init__(self) -> None:
        self.parts = PartLedger()
        self.parts.losses_s = lambda: list(self._loss_times_s.values())
        self._blame = SuspectTable(FIRST_REFUSAL_S, longest_lapse_s=MAX_REFUSAL_S)
        self._published: dict[str, float] = {}
        self._held_until_s: dict[str, float] = {}
        self._senders: dict[str, dict[str, set[str]]] = {}
        self._incomplete: deque[IncompleteCall] = deque(maxlen=MAX_INCOMPLETE)
        self._lost_s: dict[EndpointStart, float] = {}
        self._loss_times_s: OrderedDict[str, float] = OrderedDict()

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
        """Record that a request ended at an endpoint without a complete response.

        The connection broke, or the request was given up as the endpoint is silent.

        Parameters
        ----------
        parts, sent_s, is_closed, is_judged
            As in `IncompleteCall`.

        Returns
        -------
        found : LossEvidence or None
            The evidence for the endpoint's loss, if the loss was already known.
        """
        call = IncompleteCall(mark, start, now_s, parts, sent_s, is_closed, is_judged)
        lost_s = [
            at_s
            for each, at_s in self._lost_s.items()
            if each.may_be(start) and now_s - at_s <= LOSS_PROOF_TIMEOUT_S
        ]
        if not lost_s:
            self._incomplete.append(call)
            return None
        found = LossEvidence(min(lost_s))
        if sent_s < found.at_s:
            self._blame_call(found, call, now_s)
        return found

    def _blame_call(
        self, found: LossEvidence, call: IncompleteCall, now_s: float
    ) -> None:
        """Blame a loss on a request and on the parts of its prompt."""
        if call.fingerprint in found.marks:
            return
        found.marks.append(call.fingerprint)
        self.told(call.fingerprint, loss_id(call.start), found.at_s)
        parts = tuple(self.parts.unproven(call.parts, now_s))
        if parts and len(found.calls) < MAX_CALLS_PER_LOSS:
            lost = LostCall(request_digest(call.fingerprint), parts)
            found.calls.append(lost)
            self.parts.blamed(loss_id(call.start), [lost], found.at_s)

    def has_recent_failure(self, endpoint: str, now_s: float) -> bool:
        """Return whether a request recently ended incomplete at an endpoint."""
        return any(
            each.start.endpoint == endpoint and each.is_recent(now_s)
            for each in self._incomplete
        )

    def is_verdict_pending(self, mark: str, parts: Sequence[str], now_s: float) -> bool:
        """Return whether a verdict is pending on a loss a request may have caused."""
        unproven = set(self.parts.unproven(parts, now_s))
        recent = takewhile(
            lambda each: now_s - each.at_s < VERDICT_TIMEOUT_S,
            reversed(self._incomplete),
        )
        is_open = any(
            each.is_awaited(now_s)
            and (each.fingerprint == mark or not unproven.isdisjoint(each.parts))
            for each in recent
        )
        if is_open or self.parts.verdict_due_s(parts, now_s):
            return True
        marks = mark, request_digest(mark)
        return any(
            self._held_until_s.get(each, 0.0) > now_s for each in marks
        ) or not all(self._is_settled(each, now_s) for each in marks)

    def hold(self, marks: Iterable[str], parts: Iterable[str], now_s: float) -> None:
        """Record that a host awaits the verdict on a loss blamed on suspects."""
        until_s = now_s + VERDICT_TIMEOUT_S
        held = self._held_until_s.items()
        self._held_until_s = {each: end_s for each, end_s in held if end_s > now_s}
        self._held_until_s |= {
            each: until_s for each in marks if self._blame.knows(each)
        }
        self.parts.hold(parts, until_s, now_s)

    def find_suspects(
        self, mark: str, parts: Sequence[str], now_s: float
    ) -> tuple[str, ...]:
        """Return the suspects in a request: its digest and parts of its prompt."""
        digest = request_digest(mark)
        own = (digest,) if self._blame.knows(digest) else ()
        return own + tuple(self.parts.suspected(parts, now_s))

    def record_alive(self, start: EndpointStart, by_s: float) -> None:
        """Record that an endpoint survived the requests that ended there by a time."""
        for each in self._incomplete:
            if each.start.may_be(start) and each.at_s <= by_s:
                each.is_judged = True
                each.is_closed = False

    def lost(self, start: EndpointStart, now_s: float) -> dict[str, LossEvidence]:
        """Record that an endpoint is lost; return the evidence for it.

        Parameters
        ----------
        start : EndpointStart
            The start that is lost; any start if it has no time.

        Returns
        -------
        dict of str to LossEvidence
            By loss.
        """
        of_start = [each for each in self._incomplete if each.start.may_be(start)]
        recent = [each for each in of_start if each.is_recent(now_s)]
        first_s = self._broke_s(recent, now_s)
        known = self._lost_s.items()
        self._lost_s = {
            each: at_s for each, at_s in known if now_s - at_s <= LOSS_PROOF_TIMEOUT_S
        }
        self._lost_s.setdefault(start, first_s)
        self.record_loss_time(start.endpoint, first_s)
        found: dict[str, LossEvidence] = {}
        for each in recent:
            # A request sent after others had broken off reached a lost endpoint.
            if each.sent_s < first_s:
                loss = found.setdefault(loss_id(each.start), LossEvidence(first_s))
                self._blame_call(loss, each, now_s)
        kept = (each for each in self._incomplete if not each.start.may_be(start))
        self._incomplete = deque(kept, maxlen=MAX_INCOMPLETE)
        return found

    @staticmethod
    def _broke_s(calls: Sequence[IncompleteCall], now_s: float) -> float:
        """Return when the connections to a lost endpoint broke.

        Connections that broke long before the last one, and callers that disconnected,
        are no evidence of the loss.
        """
        closed_s = [each.at_s for each in calls if each.is_closed]
        last_s = max(closed_s, default=now_s)
        return min(
            (at_s for at_s in closed_s if last_s - at_s <= SIMULTANEOUS_S),
            default=now_s,
        )

    def record_loss_time(self, endpoint: str, at_s: float) -> None:
        """Record when an endpoint was lost, independent of any blame."""
        self._loss_times_s.setdefault(endpoint, at_s)
        while len(self._loss_times_s) > MAX_LOSS_TIMES:
            self._loss_times_s.popitem(last=False)

    def told(self, mark: str, loss: str, now_s: float) -> None:
        """Blame a request for the loss of an endpoint, here or at another daemon."""
        digest = request_digest(mark)
        for each in (mark, digest):
            self._blame.suspect(each, loss, loss, now_s)
            self._blame.confirm(each, loss)
        losses = self._senders.setdefault(digest, {})
        losses.setdefault(loss, set()).add(mark)

    def answered(self, mark: str) -> bool:
        """Record that a request got a complete response, which clears it.

        A server error clears nothing: the endpoint may not have begun the request.

        Returns
        -------
        was_known : bool
            Whether it was suspected or refused.
        """
        digest = request_digest(mark)
        self._senders.pop(digest, None)
        was_known = False
        for each in (mark, digest):
            was_published = self._published.pop(each, None) is not None
            was_known = self._blame.clear(each) or was_published or was_known
        return was_known

    def losses_of(self, mark: str) -> int:
        """Return how many losses a request is blamed for since its last refusal."""
        return len(self._blame.losses_s(mark))

    def record_published(self, mark: str, for_s: float, now_s: float) -> None:
        """Record a refusal that the store holds, and its remaining time."""
        if refused_parts(mark):
            self.parts.record_published(mark, for_s, now_s)
        else:
            self._published[mark] = now_s + for_s

    def record_unpublished(self, mark: str, now_s: float) -> None:
        """Record that the store no longer holds a refusal."""
        if refused_parts(mark):
            self.parts.record_unpublished(mark, now_s)
        else:
            self._published.pop(mark, None)

    def to_publish(self, now_s: float) -> dict[str, float]:
        """Return the refusals that the store should hold but does not.

        Returns
        -------
        dict of str to float
            Seconds by fingerprint, by request digest, or by key of prompt parts.
        """
        self._expire(now_s)
        return self.parts.to_publish(now_s) | {
            each: self._blame.refused_for_s(each, now_s)
            for each in self._blame.refused(now_s)
            if each not in self._published
            and self._has_enough_losses(each)
            and self._is_settled(each, now_s)
        }

    def _expire(self, now_s: float) -> None:
        self._blame.expire(now_s)
        if len(self._senders) > len(self._blame):
            known = self._senders.items()
            self._senders = {each: s for each, s in known if self._blame.knows(each)}

    def _has_enough_losses(self, mark: str) -> bool:
        """Return whether there are enough losses to refuse a fingerprint or digest.

        A digest needs losses that no single address explains; see
        `_is_of_several_senders`.
        """
        if not self._blame.was_refused(mark):
            losses_s = self._blame.losses_s(mark)
            if (
                count_losses(losses_s, list(self._loss_times_s.values()))
                < LOSSES_REFUSED
            ):
                return False
        if SEPARATOR in mark:
            return True
        return self._is_of_several_senders(list(self._senders.get(mark, {}).values()))

    @staticmethod
    def _is_of_several_senders(losses: Sequence[set[str]]) -> bool:
        """Return whether no single address explains a request's losses.

        Of addresses that share a loss, one may have run beside the other.

        Parameters
        ----------
        losses : sequence of set of str
            For each loss the addresses that had the request running there.
        """
        alone = {next(iter(each)) for each in losses if len(each) == 1}
        if len(alone) >= MIN_SENDERS:
            return True
        if len(losses) < SHARED_LOSSES_REFUSED:
            return False
        return not set.intersection(*losses)

    def _is_settled(self, mark: str, now_s: float) -> bool:
        """Return whether losses simultaneous with the last one are known by now."""
        losses_s = self._blame.losses_s(mark)
        is_decisive = len(losses_s) == LOSSES_REFUSED
        return not is_decisive or now_s >= max(losses_s) + SETTLE_S

    def refused_for_s(
        self, mark: str, now_s: float, parts: Sequence[str] = ()
    ) -> float:
        """Return for how long a request is refused; 0.0: it may run.

        Parameters
        ----------
        parts : sequence of str
            Digests of the shared parts of its prompt.
        """
        marks = mark, request_digest(mark)
        by_marks_s = max(self._refused_for_s(each, now_s) for each in marks)
        return max(by_marks_s, self.parts.refused_for_s(parts, now_s))

    def _refused_for_s(self, mark: str, now_s: float) -> float:
        published_s = max(0.0, self._published.get(mark, 0.0) - now_s)
        if not (self._blame.knows(mark) and self._has_enough_losses(mark)):
            return published_s
        if not self._is_settled(mark, now_s):
            return published_s
        self._expire(now_s)
        if self._blame.judge(mark, now_s) is not Verdict.REFUSE:
            return published_s
        return max(published_s, self._blame.refused_for_s(mark, now_s))
