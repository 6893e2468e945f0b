"""Ledger of prompt parts that crash the endpoints which process them.

The requests with such a part all differ, and most other requests that are lost with
the endpoint are harmless. They can be distinguished because no response ever starts on
a deadly part: if an endpoint starts one and survives, all parts of that prompt are
safe. The other parts are suspected with each loss. A part is refused after two losses
by different requests, unless another part explains those losses.
"""

import math
from collections import OrderedDict, defaultdict
from collections.abc import Callable, Iterable, Sequence

from knapweedbridge_core.serving.loss_counting import count_losses
from knapweedbridge_core.serving.suspect_parts import (
    LOSSES_REFUSED,
    MAX_REFUSAL_S,
    LostCall,
    PartLoss,
    SuspectPart,
    refusal_key,
    refused_parts,
)

MIN_REQUESTS = 2
"""Different requests that must have been lost with a part. A single request that is
lost repeatedly is refused itself."""

MIN_TIED_LOSSES = 3
"""Losses after which a part is refused although another shares all of them."""

SETTLE_S = 0.3
"""Delay before a decisive loss counts, in which simultaneous losses become known."""

TRIAL_INTERVAL_S = 5.0
"""Extra time for which each further host refuses a part whose refusal has expired, so
that only one host tries it, on one endpoint."""

SAFE_S = 120.0
"""How long a part counts as safe after a response to it started."""

MAX_SAFE = 4096
MAX_SUSPECTS = 1000
MAX_CALLS_PER_LOSS = 64
"""Most requests of one host that are blamed for one loss."""


class PartLedger:
    """What one host knows about safe and suspected prompt parts.

    Attributes
    ----------
    turn_of : callable
        Returns this host's position among those that try a part after its refusal.
    losses_s : callable
        Returns the times of all known losses.
    withdrawn : set of str
        Refusals to remove from the store.
    to_clear : set of str
        Safe parts that other hosts may still suspect.
    """

    def __init__(self) -> None:
        self.turn_of: Callable[[str], int] = lambda mark: 0
        self.losses_s: Callable[[], Sequence[float]] = lambda: ()
        self.withdrawn: set[str] = set()
        self.to_clear: set[str] = set()
        self._safe: OrderedDict[str, float] = OrderedDict()
        self._suspects: dict[str, SuspectPart] = {}
        self._by_loss: defaultdict[str, set[str]] = defaultdict(set)
        self._published: dict[str, float] = {}
        self._held_until_s: dict[str, float] = {}

    def begun(self, parts: Iterable[str], now_s: float) -> None:
        """Record that an endpoint started a response to parts and survived."""
        self.to_clear.update(self.record_safe(parts, now_s))

    def record_safe(self, parts: Iterable[str], now_s: float) -> list[str]:
        """Record that parts are safe, as seen here or by another host.

        Returns
        -------
        list of str
            The parts that were suspected or refused.
        """
        known: list[str] = []
        for part in parts:
            self._safe[part] = now_s
            self._safe.move_to_end(part)
            was_suspected = self._clear_suspicion(part)
            if self._withdraw(part, now_s) or was_suspected:
                known.append(part)
            self._held_until_s.pop(part, None)
        while len(self._safe) > MAX_SAFE:
            self._safe.popitem(last=False)
        return known

    def _clear_suspicion(self, part: str) -> bool:
        """Clear a part of suspicion; return whether it was suspected."""
        suspect = self._suspects.pop(part, None)
        if suspect is None:
            return False
        self._clear_losses(part, suspect)
        return True

    def _clear_losses(self, part: str, suspect: SuspectPart) -> None:
        for loss in suspect.losses:
            self._by_loss[loss].discard(part)
            if not self._by_loss[loss]:
                del self._by_loss[loss]
        suspect.losses.clear()

    def _withdraw(self, part: str, now_s: float) -> bool:
        """Withdraw refusals that a safe part leaves without a suspect."""
        marks = [
            mark
            for mark in self._published
            if part in (of_mark := refused_parts(mark))
            and not self.unproven(of_mark, now_s)
        ]
        for mark in marks:
            del self._published[mark]
        self.withdrawn.update(marks)
        return bool(marks)

    def unproven(self, parts: Iterable[str], now_s: float) -> list[str]:
        """Return the parts that are not known to be safe."""
        return [
            part for part in parts if now_s - self._safe.get(part, -math.inf) >= SAFE_S
        ]

    def blamed(self, loss: str, calls: Sequence[LostCall], at_s: float) -> list[str]:
        """Blame a loss on the parts that may have caused it.

        Returns
        -------
        list of str
            Parts of the requests that this host knows to be safe.
        """
        safe: set[str] = set()
        for call in calls[:MAX_CALLS_PER_LOSS]:
            parts = frozenset(self.unproven(call.parts, at_s))
            safe.update(set(call.parts) - parts)
            for part in parts:
                suspect = self._suspects.setdefault(part, SuspectPart(parts))
                suspect.companions &= parts
                known = suspect.losses.setdefault(loss, PartLoss(at_s))
                known.requests.add(call.request)
                self._by_loss[loss].add(part)
        self._evict_oldest()
        return sorted(safe)

    def _evict_oldest(self) -> None:
        while len(self._suspects) > MAX_SUSPECTS:
            table = self._suspects
            oldest = min(
                table,
                key=lambda each: (
                    len(table[each].losses) + table[each].refusals,
                    table[each].last_s,
                ),
            )
            self._clear_suspicion(oldest)

    def hold(self, parts: Iterable[str], until_s: float, now_s: float) -> None:
        """Record that a host awaits the verdict on a loss blamed on parts."""
        held = self._held_until_s.items()
        self._held_until_s = {part: end_s for part, end_s in held if end_s > now_s}
        self._held_until_s |= dict.fromkeys(self.unproven(parts, now_s), until_s)

    def record_published(self, mark: str, for_s: float, now_s: float) -> None:
        """Record a refusal of prompts that the store holds, and its remaining time."""
        parts = refused_parts(mark)
        if self.unproven(parts, now_s):
            self._published[mark] = now_s + for_s
        else:
            self.withdrawn.add(mark)
            self.to_clear.update(parts)

    def record_unpublished(self, mark: str, now_s: float) -> None:
        """Record that the store no longer holds a refusal.

        If it ended with its lease, the hosts whose turn to try has not come continue
        to refuse it.
        """
        if self._published.get(mark, -math.inf) > now_s + TRIAL_INTERVAL_S:
            del self._published[mark]

    def suspected(self, parts: Iterable[str], now_s: float) -> list[str]:
        """Return the parts that are suspected or were refused before."""
        expired = {part for mark in self._published for part in refused_parts(mark)}
        return [
            part
            for part in self.unproven(parts, now_s)
            if part in self._suspects or part in expired
        ]

    def verdict_due_s(self, parts: Sequence[str], now_s: float) -> float:
        """Return until when a prompt waits for a verdict; 0.0: it need not wait."""
        until_s = 0.0
        for part in self.unproven(parts, now_s):
            until_s = max(until_s, self._held_until_s.get(part, 0.0))
            suspect = self._suspects.get(part)
            if suspect is not None and len(suspect.losses) == suspect.needed:
                until_s = max(until_s, suspect.last_s + SETTLE_S)
        return until_s if until_s > now_s else 0.0

    def refused_for_s(self, parts: Sequence[str], now_s: float) -> float:
        """Return for how long a prompt with some parts is refused; 0.0: it may run."""
        for_s = self._published_for_s(parts, now_s)
        for part in self.unproven(parts, now_s):
            suspect = self._suspects.get(part)
            if suspect is not None and self._matches(suspect, parts, now_s):
                for_s = max(for_s, self._refused_for_s(part, suspect, now_s))
        return for_s

    def _matches(
        self, suspect: SuspectPart, parts: Sequence[str], now_s: float
    ) -> bool:
        """Return whether a prompt has all parts that the losses of a part share."""
        return set(self.unproven(suspect.companions, now_s)) <= set(parts)

    def _published_for_s(self, parts: Sequence[str], now_s: float) -> float:
        if not self._published:
            return 0.0
        longest_s = 0.0
        for mark, until_s in list(self._published.items()):
            if now_s > until_s + MAX_REFUSAL_S:
                del self._published[mark]
            elif refused_parts(mark) <= set(parts):
                until_s += self.turn_of(mark) * TRIAL_INTERVAL_S
                longest_s = max(longest_s, until_s - now_s)
        return longest_s

    def _refused_for_s(self, part: str, suspect: SuspectPart, now_s: float) -> float:
        self._expire(part, suspect, now_s)
        if self._is_refused(part, suspect, now_s):
            return max(0.0, suspect.expires_s - now_s)
        if not (suspect.refusals and not suspect.losses):
            return 0.0
        turn = self.turn_of(refusal_key(suspect.companions))
        return max(0.0, suspect.released_s + turn * TRIAL_INTERVAL_S - now_s)

    def _expire(self, part: str, suspect: SuspectPart, now_s: float) -> None:
        """Remove expired suspicion; a part that was refused is put on probation."""
        if now_s < suspect.expires_s:
            return
        if self._is_refused(part, suspect, now_s):
            suspect.released_s = suspect.expires_s
            self._clear_losses(part, suspect)
            suspect.refusals += 1
        else:
            self._clear_suspicion(part)

    def _is_refused(self, part: str, suspect: SuspectPart, now_s: float) -> bool:
        if len(suspect.losses) < suspect.needed:
            return False
        if now_s < suspect.last_s + SETTLE_S and len(suspect.losses) == suspect.needed:
            return False
        if suspect.refusals:
            return True
        rivals = self._rivals(part, suspect)
        held = self._unexplained(suspect, rivals)
        requests = {each for loss in held for each in loss.requests}
        if len(requests) < MIN_REQUESTS:
            return False
        counted = count_losses([loss.at_s for loss in held], self.losses_s())
        is_tied = any(each.losses.keys() == suspect.losses.keys() for each in rivals)
        return counted >= (MIN_TIED_LOSSES if is_tied else LOSSES_REFUSED)

    def _rivals(self, part: str, suspect: SuspectPart) -> list[SuspectPart]:
        """Return other suspects of the same losses that also occur without the part."""
        names = set().union(*(self._by_loss[loss] for loss in suspect.losses))
        others = names - suspect.companions - {part}
        return [self._suspects[name] for name in others]

    @staticmethod
    def _unexplained(
        suspect: SuspectPart, rivals: Sequence[SuspectPart]
    ) -> list[PartLoss]:
        """Return the losses that no suspect with more losses shares."""
        explained = {
            loss
            for each in rivals
            if len(each.losses) > len(suspect.losses)
            for loss in each.losses
        }
        losses = suspect.losses.items()
        return [loss for name, loss in losses if name not in explained]

    def to_publish(self, now_s: float) -> dict[str, float]:
        """Return the refusals that the store should hold, with their seconds."""
        found: dict[str, float] = {}
        for part, suspect in list(self._suspects.items()):
            self._expire(part, suspect, now_s)
            if not self._is_refused(part, suspect, now_s):
                continue
            mark = refusal_key(self.unproven(suspect.companions, now_s))
            if self._published.get(mark, 0.0) <= now_s:
                found[mark] = suspect.expires_s - now_s
        return found

    def __len__(self) -> int:
        return len(self._suspects)
