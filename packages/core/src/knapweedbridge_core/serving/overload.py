"""What becomes of requests while engines cannot answer all of them in time.

A request whose response is late whatever is done (it is overdue) must not make others
late. So it goes to an engine only where that has capacity which no timely request
wants, waits for that in a bounded queue, and is refused where the queue is full.
"""

import math
import random
from abc import ABC, abstractmethod
from collections import OrderedDict
from dataclasses import dataclass

from knapweedbridge_core.serving.caller_wait import PendingRequest
from knapweedbridge_core.serving.endpoint import Endpoint
from knapweedbridge_core.serving.placement_choices import (
    Choice,
    NoEngine,
    SendTo,
    TooLate,
)

OVERLOAD_RETRY_AFTER_S = (1.0, 3.0)
"""When callers should come back that no engine can serve in time: peaks last about
two seconds, and those who return together would make the next one."""

LAST_RANK = 9
"""Rank of overdue requests at an engine, after all others."""

SPARE_SLOTS = 0.8
"""Part of an engine's slots up to which it counts as having capacity left: an overdue
request that has begun keeps its slot, and its steps are shared, for seconds."""

SPARE_PACE = 0.5
"""Part of an engine's pace up to which prompts may be unread there while it counts as
having capacity left: a timely prompt that comes next is still read in its window."""

QUEUE_LEAST = 2
QUEUE_MOST = 64
"""Bounds on the overdue requests that one daemon holds. The least of all daemons adds
up: in a pool of 76 there are 152 before 30 engines, whose callers leave silent streams.
"""

LEAST_PER_S = 1.0
"""Least rate of sends that a time to come back is reckoned with."""

RATE_HALF_LIFE_S = 2.0
"""Half-life of the rate at which overdue requests were sent: as long as peaks last."""

SPREAD_S = 1.0
"""Time over which those are spread that are to come back when the queue is empty."""

BACK_PART = 1 / 3
"""Most of a caller's remaining time that it is told to stay away."""

SOON_S = 0.5
REFUSED_KEPT_S = 5.0
REFUSED_MOST = 512
"""A retry with less time spent, of a request that was refused here within
`REFUSED_KEPT_S`, did not wait as it was told. That many requests are remembered."""

LOOK_S = 0.1
"""Pause between looks for capacity, where nothing is heard."""


@dataclass(slots=True, frozen=True)
class Admit:
    """The request follows its choice: it is sent, or waits for its adapter.

    Parameters
    ----------
    rank : int or None
        Rank at the engine; None: that of its route.
    """

    choice: Choice
    rank: int | None = None


@dataclass(slots=True, frozen=True)
class Wait:
    """The request waits for capacity that no timely request wants."""

    until_s: float


@dataclass(slots=True, frozen=True)
class Reject:
    """The request is refused, as one that was not run.

    Parameters
    ----------
    is_overdue : bool
        Whether it found no place among those that wait for remaining capacity.
    """

    reason: str
    retry_after_s: float
    is_overdue: bool = False


Verdict = Admit | Wait | Reject


def has_spare(engine: Endpoint) -> bool:
    """Tell whether an engine has capacity that no timely request wants."""
    is_calm = engine.unread_tokens <= SPARE_PACE * engine.pace_tokens
    return is_calm and _spare_places(engine) > 0


def _spare_places(engine: Endpoint) -> int:
    return math.ceil(SPARE_SLOTS * engine.record.slots - engine.calls)


class OverloadPolicy(ABC):
    """Decides what becomes of requests that engines cannot answer in time."""

    @abstractmethod
    def is_overdue(self, call: PendingRequest, now_s: float) -> bool:
        """Tell whether a request gets remaining capacity only, before it is placed."""

    @abstractmethod
    def patience_s(self, call: PendingRequest, accepted: bool, now_s: float) -> float:
        """Return the longest wait for a first event that a request is placed with."""

    @abstractmethod
    def eligible_engines(
        self, call: PendingRequest, engines: list[Endpoint], now_s: float
    ) -> list[Endpoint]:
        """Return the engines among which a request is placed."""

    @abstractmethod
    def decide(self, call: PendingRequest, choice: Choice, now_s: float) -> Verdict:
        """Decide on a request for which a placement has made its choice."""

    @abstractmethod
    def queued(self) -> int:
        """Return how many overdue requests wait here."""

    @abstractmethod
    def left(self, call: PendingRequest, now_s: float, sent: bool) -> None:
        """Take that a request was sent, was refused, or that its caller left."""

    @abstractmethod
    def next_due(self, call: PendingRequest, now_s: float) -> float:
        """Return when a waiting request is to be judged again at the latest."""


class AdmitAll(OverloadPolicy):
    """Overdue requests compete with all others; see `LateAdmission`.

    Parameters
    ----------
    luck : random.Random, optional
        Spreads the times at which callers come back.
    """

    def __init__(self, luck: random.Random | None = None) -> None:
        self._luck = luck or random.Random()

    def is_overdue(self, call: PendingRequest, now_s: float) -> bool:
        """See `OverloadPolicy.is_overdue`."""
        return False

    def patience_s(self, call: PendingRequest, accepted: bool, now_s: float) -> float:
        """See `OverloadPolicy.patience_s`."""
        return call.patience_s(now_s - call.received_s, accepted)

    def eligible_engines(
        self, call: PendingRequest, engines: list[Endpoint], now_s: float
    ) -> list[Endpoint]:
        """See `OverloadPolicy.eligible_engines`."""
        return engines

    def decide(self, call: PendingRequest, choice: Choice, now_s: float) -> Verdict:
        """See `OverloadPolicy.judge`."""
        if not isinstance(choice, TooLate):
            return Admit(choice)
        if call.may_have_run:
            return _admit_late(choice)
        after_s = self._luck.uniform(*OVERLOAD_RETRY_AFTER_S) + choice.over_s
        return Reject("overloaded", after_s)

    def queued(self) -> int:
        """See `OverloadPolicy.queued`."""
        return 0

    def left(self, call: PendingRequest, now_s: float, sent: bool) -> None:
        """See `OverloadPolicy.left`."""

    def next_due(self, call: PendingRequest, now_s: float) -> float:
        """See `OverloadPolicy.next_due`."""
        return math.inf


class OverdueLast(OverloadPolicy):
    """Overdue requests get the capacity that timely ones leave.

    Parameters
    ----------
    luck : random.Random, optional
        Spreads the times at which callers come back.
    """

    def __init__(self, luck: random.Random | None = None) -> None:
        self._luck = luck or random.Random()
        self._waiting: dict[int, PendingRequest] = {}
        self._sent_per_s = 0.0
        self._sent_s = 0.0
        self._refused: OrderedDict[str, float] = OrderedDict()

    def is_overdue(self, call: PendingRequest, now_s: float) -> bool:
        """See `OverloadPolicy.is_overdue`.

        One that waits here but may still be in time is placed as others are.
        """
        if call.may_have_run or call.begun:
            return False
        if call.waited_s(now_s) > call.route.objective_s:
            return True
        return self._is_hasty(call)

    def patience_s(self, call: PendingRequest, accepted: bool, now_s: float) -> float:
        """See `OverloadPolicy.patience_s`."""
        if self.is_overdue(call, now_s):
            return math.inf
        return call.patience_s(call.waited_s(now_s), accepted)

    def eligible_engines(
        self, call: PendingRequest, engines: list[Endpoint], now_s: float
    ) -> list[Endpoint]:
        """See `OverloadPolicy.eligible_engines`."""
        if not self.is_overdue(call, now_s) or now_s >= call.wait_ends_s:
            return engines
        spare = [each for each in _without_moves(call, engines) if has_spare(each)]
        free = sum(_spare_places(each) for each in spare)
        return spare if free > self._before(call) else []

    def _before(self, call: PendingRequest) -> int:
        """Return how many of those that wait get capacity before a request."""
        place = _place_in_queue(call)
        return sum(_place_in_queue(each) < place for each in self._waiting.values())

    def decide(self, call: PendingRequest, choice: Choice, now_s: float) -> Verdict:
        """See `OverloadPolicy.judge`."""
        if call.may_have_run:
            return _admit_late(choice)
        if not self.is_overdue(call, now_s):
            return self._judge_timely(call, choice, now_s)
        if now_s >= call.wait_ends_s:
            return self._end_wait(call, choice, now_s)
        if isinstance(choice, SendTo):
            return Admit(choice, LAST_RANK)
        if not self._has_place(call, now_s):
            return self._reject(call, now_s)
        if isinstance(choice, NoEngine | TooLate):
            return Wait(self.next_due(call, now_s))
        return Admit(choice, LAST_RANK)

    def _judge_timely(
        self, call: PendingRequest, choice: Choice, now_s: float
    ) -> Verdict:
        if not isinstance(choice, TooLate):
            return Admit(choice)
        if now_s >= call.wait_ends_s or not self._has_place(call, now_s):
            return self._reject(call, now_s)
        return Wait(self.next_due(call, now_s))

    def _end_wait(self, call: PendingRequest, choice: Choice, now_s: float) -> Verdict:
        # Sent when its caller leaves, it would only take an engine's time.
        if isinstance(choice, SendTo) and now_s < call.leaves_s:
            return Admit(choice, LAST_RANK)
        return self._reject(call, now_s)

    def _has_place(self, call: PendingRequest, now_s: float) -> bool:
        """Tell whether a request may wait, and take its place in the queue."""
        if call.key not in self._waiting:
            if len(self._waiting) >= self._most(call, now_s):
                return False
            self._waiting[call.key] = call
        return True

    def _most(self, call: PendingRequest, now_s: float) -> float:
        """Return how many may wait, by what is sent while this one waits."""
        expected = self._rate_per_s(now_s) * (call.wait_ends_s - now_s)
        return min(QUEUE_MOST, max(QUEUE_LEAST, expected))

    def _reject(self, call: PendingRequest, now_s: float) -> Reject:
        empty_s = len(self._waiting) / max(LEAST_PER_S, self._rate_per_s(now_s))
        after_s = empty_s + self._luck.uniform(0.0, SPREAD_S)
        most_s = BACK_PART * max(0.0, call.deadline_s - now_s)
        if after_s > most_s:
            # Cut to the same time, all would come back at once.
            after_s = self._luck.uniform(0.5, 1.0) * most_s
        self._note_refused(call.mark, now_s)
        return Reject("overloaded", after_s, is_overdue=True)

    def _note_refused(self, mark: str, now_s: float) -> None:
        if not mark:
            return
        self._refused[mark] = now_s
        self._refused.move_to_end(mark)
        if len(self._refused) > REFUSED_MOST:
            self._refused.popitem(last=False)

    def _is_hasty(self, call: PendingRequest) -> bool:
        # What is refused while a request waits says nothing of that request.
        refused_s = self._refused.get(call.mark, -math.inf)
        since_s = call.received_s - refused_s
        return call.spent_s < SOON_S and 0.0 < since_s < REFUSED_KEPT_S

    def _rate_per_s(self, now_s: float) -> float:
        age_s = max(0.0, now_s - self._sent_s)
        return self._sent_per_s * 0.5 ** (age_s / RATE_HALF_LIFE_S)

    def queued(self) -> int:
        """See `OverloadPolicy.queued`."""
        return len(self._waiting)

    def left(self, call: PendingRequest, now_s: float, sent: bool) -> None:
        """See `OverloadPolicy.left`."""
        if self._waiting.pop(call.key, None) is not None and sent:
            step = math.log(2) / RATE_HALF_LIFE_S
            self._sent_per_s = self._rate_per_s(now_s) + step
            self._sent_s = now_s

    def next_due(self, call: PendingRequest, now_s: float) -> float:
        """See `OverloadPolicy.next_due`."""
        ends_s = call.wait_ends_s
        return min(ends_s, now_s + LOOK_S) if ends_s > now_s else now_s + LOOK_S


def _without_moves(call: PendingRequest, engines: list[Endpoint]) -> list[Endpoint]:
    """Return the engines that a request can use without an adapter giving way.

    Placed on any engine with capacity left, overdue requests had their adapters loaded
    there, in the places of those that timely requests use.
    """
    if call.model is None or not call.model.adapter:
        return engines
    holders = [each for each in engines if call.model in each.held]
    return holders or [each for each in engines if each.places_free > 0]


def _admit_late(choice: Choice) -> Admit:
    # It cannot be told that it was not run: to refuse it would fail it, and a late
    # answer is better than none.
    return Admit(choice.instead if isinstance(choice, TooLate) else choice)


def _place_in_queue(call: PendingRequest) -> tuple[int, float, int]:
    """Order of those that wait: the most urgent first, then the next deadline."""
    return call.route.urgency, call.deadline_s, call.key
