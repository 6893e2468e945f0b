"""Overload policies: how requests are handled when engines cannot meet all deadlines.

A request that can no longer be answered within its objective is overdue. It must not
delay requests that still can be. It is therefore sent only to engines with spare
capacity, waits for it in a bounded queue, and is rejected if the queue is full.
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
"""Range of the Retry-After of rejected requests. Peaks last about two seconds, and
callers that all retry at the same time would cause the next peak."""

LAST_RANK = 9
"""Rank of overdue requests at an engine, behind all other requests."""

SPARE_SLOTS_SHARE = 0.8
"""Share of an engine's slots below which it has spare capacity. A running overdue
request holds its slot and shares the engine's steps for seconds."""

SPARE_PROMPT_SHARE = 0.5
"""Share of an engine's prompt rate up to which it may have unprocessed prompt tokens
and still have spare capacity. The next timely prompt is then still read in time."""

MIN_QUEUE = 2
MAX_QUEUE = 64
"""Bounds on the queue of overdue requests of one daemon. The minimum adds up over the
daemons: 76 of them queue 152 requests for 30 engines, and callers disconnect from
streams that stay silent."""

MIN_SENDS_PER_S = 1.0
"""Lowest send rate that is assumed when Retry-After is computed."""

RATE_HALF_LIFE_S = 2.0
"""Half-life of the measured send rate of overdue requests: the length of a peak."""

RETRY_JITTER_S = 1.0
"""Random time added to Retry-After, so that retries are spread out."""

MAX_RETRY_AFTER_SHARE = 1 / 3
"""Largest Retry-After, as a share of the time until the caller's deadline."""

EARLY_RETRY_S = 0.5
REJECTED_KEPT_S = 5.0
MAX_REJECTED = 512
"""A retry within `REJECTED_KEPT_S` of a rejection here, whose caller has spent less
than `EARLY_RETRY_S`, ignored its Retry-After. At most `MAX_REJECTED` are remembered."""

CHECK_INTERVAL_S = 0.1
"""Interval between checks for spare capacity when no update arrives."""


@dataclass(slots=True, frozen=True)
class Admit:
    """The placement's choice applies: the request is sent, or waits for its adapter.

    Parameters
    ----------
    rank : int or None
        Rank at the engine; None: the rank of the route.
    """

    choice: Choice
    rank: int | None = None


@dataclass(slots=True, frozen=True)
class Wait:
    """The request waits for spare capacity."""

    until_s: float


@dataclass(slots=True, frozen=True)
class Reject:
    """The request is rejected without having been run.

    Parameters
    ----------
    is_overdue : bool
        Whether it is overdue and the queue for spare capacity had no place for it.
    """

    reason: str
    retry_after_s: float
    is_overdue: bool = False


Verdict = Admit | Wait | Reject


def has_spare(engine: Endpoint) -> bool:
    """Return whether an engine has capacity that timely requests do not need."""
    is_calm = engine.unread_tokens <= SPARE_PROMPT_SHARE * engine.pace_tokens
    return is_calm and _spare_slots(engine) > 0


def _spare_slots(engine: Endpoint) -> int:
    return math.ceil(SPARE_SLOTS_SHARE * engine.record.slots - engine.calls)


class OverloadPolicy(ABC):
    """Decides how to handle requests that engines cannot answer in time."""

    @abstractmethod
    def is_overdue(self, call: PendingRequest, now_s: float) -> bool:
        """Return whether a request may use spare capacity only."""

    @abstractmethod
    def patience_s(self, call: PendingRequest, accepted: bool, now_s: float) -> float:
        """Return the longest first-event wait to place a request with."""

    @abstractmethod
    def eligible_engines(
        self, call: PendingRequest, engines: list[Endpoint], now_s: float
    ) -> list[Endpoint]:
        """Return the engines that a request may be placed on."""

    @abstractmethod
    def decide(self, call: PendingRequest, choice: Choice, now_s: float) -> Verdict:
        """Decide on a request, given the choice of the placement."""

    @abstractmethod
    def queued(self) -> int:
        """Return the number of overdue requests in the queue."""

    @abstractmethod
    def left(self, call: PendingRequest, now_s: float, sent: bool) -> None:
        """Record that a request was sent or rejected, or its caller disconnected."""

    @abstractmethod
    def next_check_s(self, call: PendingRequest, now_s: float) -> float:
        """Return when a waiting request must be decided on again at the latest."""


class AdmitAll(OverloadPolicy):
    """Treats overdue requests like all others; see `LateAdmission`.

    Parameters
    ----------
    rng : random.Random, optional
        Spreads the times at which callers come back.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()

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
        after_s = self._rng.uniform(*OVERLOAD_RETRY_AFTER_S) + choice.over_s
        return Reject("overloaded", after_s)

    def queued(self) -> int:
        """See `OverloadPolicy.queued`."""
        return 0

    def left(self, call: PendingRequest, now_s: float, sent: bool) -> None:
        """See `OverloadPolicy.left`."""

    def next_check_s(self, call: PendingRequest, now_s: float) -> float:
        """See `OverloadPolicy.next_check_s`."""
        return math.inf


class OverdueLast(OverloadPolicy):
    """Gives overdue requests only the capacity that timely requests leave.

    Parameters
    ----------
    rng : random.Random, optional
        Spreads the times at which callers come back.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()
        self._waiting: dict[int, PendingRequest] = {}
        self._sent_per_s = 0.0
        self._sent_s = 0.0
        self._rejected: OrderedDict[str, float] = OrderedDict()

    def is_overdue(self, call: PendingRequest, now_s: float) -> bool:
        """See `OverloadPolicy.is_overdue`.

        A request that waits here but may still be in time is placed like any other.
        """
        if call.may_have_run or call.begun:
            return False
        if call.waited_s(now_s) > call.route.objective_s:
            return True
        return self._is_early_retry(call)

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
        spare = [each for each in _without_evictions(call, engines) if has_spare(each)]
        free = sum(_spare_slots(each) for each in spare)
        return spare if free > self._count_ahead(call) else []

    def _count_ahead(self, call: PendingRequest) -> int:
        """Return the number of waiting requests that are ahead of a request."""
        place = _queue_position(call)
        return sum(_queue_position(each) < place for each in self._waiting.values())

    def decide(self, call: PendingRequest, choice: Choice, now_s: float) -> Verdict:
        """See `OverloadPolicy.judge`."""
        if call.may_have_run:
            return _admit_late(choice)
        if not self.is_overdue(call, now_s):
            return self._decide_timely(call, choice, now_s)
        if now_s >= call.wait_ends_s:
            return self._end_wait(call, choice, now_s)
        if isinstance(choice, SendTo):
            return Admit(choice, LAST_RANK)
        if not self._enqueue(call, now_s):
            return self._reject(call, now_s)
        if isinstance(choice, NoEngine | TooLate):
            return Wait(self.next_check_s(call, now_s))
        return Admit(choice, LAST_RANK)

    def _decide_timely(
        self, call: PendingRequest, choice: Choice, now_s: float
    ) -> Verdict:
        if not isinstance(choice, TooLate):
            return Admit(choice)
        if now_s >= call.wait_ends_s or not self._enqueue(call, now_s):
            return self._reject(call, now_s)
        return Wait(self.next_check_s(call, now_s))

    def _end_wait(self, call: PendingRequest, choice: Choice, now_s: float) -> Verdict:
        # Once the caller has disconnected, the request would only waste engine time.
        if isinstance(choice, SendTo) and now_s < call.disconnect_s:
            return Admit(choice, LAST_RANK)
        return self._reject(call, now_s)

    def _enqueue(self, call: PendingRequest, now_s: float) -> bool:
        """Return whether a request may wait, and add it to the queue if so."""
        if call.key not in self._waiting:
            if len(self._waiting) >= self._queue_limit(call, now_s):
                return False
            self._waiting[call.key] = call
        return True

    def _queue_limit(self, call: PendingRequest, now_s: float) -> float:
        """Return the queue limit: the sends expected while this request waits."""
        expected = self._rate_per_s(now_s) * (call.wait_ends_s - now_s)
        return min(MAX_QUEUE, max(MIN_QUEUE, expected))

    def _reject(self, call: PendingRequest, now_s: float) -> Reject:
        drain_s = len(self._waiting) / max(MIN_SENDS_PER_S, self._rate_per_s(now_s))
        after_s = drain_s + self._rng.uniform(0.0, RETRY_JITTER_S)
        max_s = MAX_RETRY_AFTER_SHARE * max(0.0, call.deadline_s - now_s)
        if after_s > max_s:
            # Without jitter, all callers with the same limit would retry at once.
            after_s = self._rng.uniform(0.5, 1.0) * max_s
        self._record_rejected(call.mark, now_s)
        return Reject("overloaded", after_s, is_overdue=True)

    def _record_rejected(self, mark: str, now_s: float) -> None:
        if not mark:
            return
        self._rejected[mark] = now_s
        self._rejected.move_to_end(mark)
        if len(self._rejected) > MAX_REJECTED:
            self._rejected.popitem(last=False)

    def _is_early_retry(self, call: PendingRequest) -> bool:
        # Rejections that happen after a request arrived are not its own earlier ones.
        rejected_s = self._rejected.get(call.mark, -math.inf)
        since_s = call.received_s - rejected_s
        return call.spent_s < EARLY_RETRY_S and 0.0 < since_s < REJECTED_KEPT_S

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

    def next_check_s(self, call: PendingRequest, now_s: float) -> float:
        """See `OverloadPolicy.next_check_s`."""
        ends_s = call.wait_ends_s
        return (
            min(ends_s, now_s + CHECK_INTERVAL_S)
            if ends_s > now_s
            else now_s + CHECK_INTERVAL_S
        )


def _without_evictions(call: PendingRequest, engines: list[Endpoint]) -> list[Endpoint]:
    """Return the engines that can run a request without evicting an adapter.

    If overdue requests could use any engine with spare capacity, loading their adapters
    would evict those that timely requests use.
    """
    if call.model is None or not call.model.adapter:
        return engines
    holders = [each for each in engines if call.model in each.held]
    return holders or [each for each in engines if each.places_free > 0]


def _admit_late(choice: Choice) -> Admit:
    # A request that may have run cannot be rejected as not run. Rejecting it would fail
    # it, and a late response is better than none.
    return Admit(choice.instead if isinstance(choice, TooLate) else choice)


def _queue_position(call: PendingRequest) -> tuple[int, float, int]:
    """Return the sort key of the queue: the most urgent, then the earliest deadline."""
    return call.route.urgency, call.deadline_s, call.key
