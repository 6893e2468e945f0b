"""Parts of prompts that crash the endpoints which begin an answer on them.

No two requests with such a part are alike, and most of what broke off beside them is
innocent. What tells them apart is that no answer ever begins on a deadly part: an
endpoint that stays and begins one shows that all parts of its prompt are sound. What is
left is suspected with each loss, and refused after two by requests that differ, unless
another part explains those losses.
"""

import math
from collections import OrderedDict, defaultdict
from collections.abc import Callable, Iterable, Sequence

from knapweedbridge_core.serving.loss_counting import count_losses
from knapweedbridge_core.serving.suspect_parts import (
    LONGEST_LAPSE_S,
    LOSSES_REFUSED,
    LostCall,
    PartLoss,
    SuspectPart,
    refusal_key,
    refused_parts,
)

REQUESTS_REFUSED = 2
"""Requests that differ, by which a part must have been lost: one that is lost again and
again is refused itself."""

LOSSES_TIED = 3
"""Losses after which a part is refused although another was at all of them too."""

SETTLE_S = 0.3
"""Time after a decisive loss before it is judged: others of its moment show by then."""

TRIAL_TURN_S = 5.0
"""How much longer each further host refuses a part whose refusal has lapsed, so that
one endpoint is tried, by one host."""

SOUND_S = 120.0
"""How long an answer shows that a part is sound."""

MOST_SOUND = 4096
MAX_SUSPECTS = 1000
MAX_CALLS_PER_LOSS = 64
"""Calls that are held against one loss, of one host."""


class PartLedger:
    """What one host knows of the parts of prompts.

    Attributes
    ----------
    turn_of : callable
        Returns this host's place among those that try a part whose refusal has lapsed.
    losses_s : callable
        Returns the times of all losses that are known.
    withdrawn : set of str
        Refusals that the store must not hold any more.
    to_clear : set of str
        Parts that are sound, and for which other hosts may hold losses.
    """

    def __init__(self) -> None:
        self.turn_of: Callable[[str], int] = lambda mark: 0
        self.losses_s: Callable[[], Sequence[float]] = lambda: ()
        self.withdrawn: set[str] = set()
        self.to_clear: set[str] = set()
        self._sound: OrderedDict[str, float] = OrderedDict()
        self._suspects: dict[str, SuspectPart] = {}
        self._by_loss: defaultdict[str, set[str]] = defaultdict(set)
        self._published: dict[str, float] = {}
        self._held: dict[str, float] = {}

    def begun(self, parts: Iterable[str], now_s: float) -> None:
        """Record that an endpoint that stayed has begun an answer on some parts."""
        self.to_clear.update(self.record_safe(parts, now_s))

    def record_safe(self, parts: Iterable[str], now_s: float) -> list[str]:
        """Record that parts are sound, as seen here or by another host.

        Returns
        -------
        list of str
            Those that something was held against.
        """
        known: list[str] = []
        for part in parts:
            self._sound[part] = now_s
            self._sound.move_to_end(part)
            was_suspected = self._forget(part)
            if self._withdraw(part, now_s) or was_suspected:
                known.append(part)
            self._held.pop(part, None)
        while len(self._sound) > MOST_SOUND:
            self._sound.popitem(last=False)
        return known

    def _forget(self, part: str) -> bool:
        """Hold nothing against a part any more; return whether anything was."""
        suspect = self._suspects.pop(part, None)
        if suspect is None:
            return False
        self._forget_losses(part, suspect)
        return True

    def _forget_losses(self, part: str, suspect: SuspectPart) -> None:
        for loss in suspect.losses:
            self._by_loss[loss].discard(part)
            if not self._by_loss[loss]:
                del self._by_loss[loss]
        suspect.losses.clear()

    def _withdraw(self, part: str, now_s: float) -> bool:
        """Drop the refusals that a sound part leaves without a suspect."""
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
        """Return the parts of which it is not known that they are sound."""
        return [
            part
            for part in parts
            if now_s - self._sound.get(part, -math.inf) >= SOUND_S
        ]

    def blamed(self, loss: str, calls: Sequence[LostCall], at_s: float) -> list[str]:
        """Hold a loss against the parts that may have caused it.

        Returns
        -------
        list of str
            Parts of the calls of which this host knows that they are sound.
        """
        sound: set[str] = set()
        for call in calls[:MAX_CALLS_PER_LOSS]:
            parts = frozenset(self.unproven(call.parts, at_s))
            sound.update(set(call.parts) - parts)
            for part in parts:
                suspect = self._suspects.setdefault(part, SuspectPart(parts))
                suspect.companions &= parts
                known = suspect.losses.setdefault(loss, PartLoss(at_s))
                known.requests.add(call.request)
                self._by_loss[loss].add(part)
        self._bound()
        return sorted(sound)

    def _bound(self) -> None:
        while len(self._suspects) > MAX_SUSPECTS:
            table = self._suspects
            oldest = min(
                table,
                key=lambda each: (
                    len(table[each].losses) + table[each].refusals,
                    table[each].last_s,
                ),
            )
            self._forget(oldest)

    def hold(self, parts: Iterable[str], until_s: float, now_s: float) -> None:
        """Record that a host has a loss to judge that parts may have caused."""
        held = self._held.items()
        self._held = {part: end_s for part, end_s in held if end_s > now_s}
        self._held |= dict.fromkeys(self.unproven(parts, now_s), until_s)

    def record_published(self, mark: str, for_s: float, now_s: float) -> None:
        """Record that the store says for how long prompts are refused."""
        parts = refused_parts(mark)
        if self.unproven(parts, now_s):
            self._published[mark] = now_s + for_s
        else:
            self.withdrawn.add(mark)
            self.to_clear.update(parts)

    def record_unpublished(self, mark: str, now_s: float) -> None:
        """Record that the store says nothing of a refusal any more.

        One that ended with its lease is still refused by the hosts whose turn to try
        has not come.
        """
        if self._published.get(mark, -math.inf) > now_s + TRIAL_TURN_S:
            del self._published[mark]

    def suspected(self, parts: Iterable[str], now_s: float) -> list[str]:
        """Return the parts that were lost with an endpoint, or refused before."""
        lapsed = {part for mark in self._published for part in refused_parts(mark)}
        return [
            part
            for part in self.unproven(parts, now_s)
            if part in self._suspects or part in lapsed
        ]

    def verdict_due_s(self, parts: Sequence[str], now_s: float) -> float:
        """Return until when a prompt waits for the judgement of a loss; 0.0: not."""
        until_s = 0.0
        for part in self.unproven(parts, now_s):
            until_s = max(until_s, self._held.get(part, 0.0))
            suspect = self._suspects.get(part)
            if suspect is not None and len(suspect.losses) == suspect.needed:
                until_s = max(until_s, suspect.last_s + SETTLE_S)
        return until_s if until_s > now_s else 0.0

    def refused_for_s(self, parts: Sequence[str], now_s: float) -> float:
        """Return for how long a prompt with some parts is refused; 0.0: it may run."""
        for_s = self._published_for_s(parts, now_s)
        for part in self.unproven(parts, now_s):
            suspect = self._suspects.get(part)
            if suspect is not None and self._names(suspect, parts, now_s):
                for_s = max(for_s, self._refused_for_s(part, suspect, now_s))
        return for_s

    def _names(self, suspect: SuspectPart, parts: Sequence[str], now_s: float) -> bool:
        """Return whether a prompt has all that the losses of a part have in common."""
        return set(self.unproven(suspect.companions, now_s)) <= set(parts)

    def _published_for_s(self, parts: Sequence[str], now_s: float) -> float:
        if not self._published:
            return 0.0
        longest_s = 0.0
        for mark, until_s in list(self._published.items()):
            if now_s > until_s + LONGEST_LAPSE_S:
                del self._published[mark]
            elif refused_parts(mark) <= set(parts):
                until_s += self.turn_of(mark) * TRIAL_TURN_S
                longest_s = max(longest_s, until_s - now_s)
        return longest_s

    def _refused_for_s(self, part: str, suspect: SuspectPart, now_s: float) -> float:
        self._lapse(part, suspect, now_s)
        if self._is_refused(part, suspect, now_s):
            return max(0.0, suspect.lapses_s - now_s)
        if not (suspect.refusals and not suspect.losses):
            return 0.0
        turn = self.turn_of(refusal_key(suspect.companions))
        return max(0.0, suspect.released_s + turn * TRIAL_TURN_S - now_s)

    def _lapse(self, part: str, suspect: SuspectPart, now_s: float) -> None:
        """Forget what has lapsed; what was refused is on probation."""
        if now_s < suspect.lapses_s:
            return
        if self._is_refused(part, suspect, now_s):
            suspect.released_s = suspect.lapses_s
            self._forget_losses(part, suspect)
            suspect.refusals += 1
        else:
            self._forget(part)

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
        if len(requests) < REQUESTS_REFUSED:
            return False
        counted = count_losses([loss.at_s for loss in held], self.losses_s())
        is_tied = any(each.losses.keys() == suspect.losses.keys() for each in rivals)
        return counted >= (LOSSES_TIED if is_tied else LOSSES_REFUSED)

    def _rivals(self, part: str, suspect: SuspectPart) -> list[SuspectPart]:
        """Return other suspects of the same losses, which may be by themselves."""
        names = set().union(*(self._by_loss[loss] for loss in suspect.losses))
        others = names - suspect.companions - {part}
        return [self._suspects[name] for name in others]

    @staticmethod
    def _unexplained(
        suspect: SuspectPart, rivals: Sequence[SuspectPart]
    ) -> list[PartLoss]:
        """Return the losses that no part with more of them was at."""
        explained = {
            loss
            for each in rivals
            if len(each.losses) > len(suspect.losses)
            for loss in each.losses
        }
        losses = suspect.losses.items()
        return [loss for name, loss in losses if name not in explained]

    def to_publish(self, now_s: float) -> dict[str, float]:
        """Return the refusals that the store should hold, and for how many seconds."""
        found: dict[str, float] = {}
        for part, suspect in list(self._suspects.items()):
            self._lapse(part, suspect, now_s)
            if not self._is_refused(part, suspect, now_s):
                continue
            mark = refusal_key(self.unproven(suspect.companions, now_s))
            if self._published.get(mark, 0.0) <= now_s:
                found[mark] = suspect.lapses_s - now_s
        return found

    def __len__(self) -> int:
        return len(self._suspects)
