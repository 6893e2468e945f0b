"""Estimates how long a caller has waited before its request arrived here.

A request states how long its caller will still wait. First attempts of one kind of
client all state the same timeout. If a request states less, the caller has spent the
difference on attempts that were rejected elsewhere.
"""

import bisect
import math
from collections import deque
from dataclasses import dataclass, field

from knapweedbridge_core.serving.attempts import max_first_event_wait_s
from knapweedbridge_core.serving.deployment import Route
from knapweedbridge_core.serving.model_ref import ModelRef

EQUAL_WITHIN_S = 0.1
"""Two timeouts that differ by less count as equal: clients round, and take some
hundredths of a second from setting a deadline to sending it."""

MAX_RECENT = 64
"""Number of timeouts remembered per route. In a pool of 76, a daemon receives 5
requests a second, so they cover ten seconds or more."""

USUAL_SHARE = 0.1
MIN_USUAL = 3
"""Share and number of the remembered timeouts that must be equal to count as usual.
Those of retries are spread over seconds, with one in forty within `EQUAL_WITHIN_S`. One
client with an unusual timeout must not make all others look as if they had waited."""

TAIL_S = 0.5
TAIL_SHARE = 0.3
"""Equal timeouts belong to retries if more than this share of their number lies within
this time above them: immediate retries state slightly less than first attempts."""

RECOMPUTE_EVERY = 8
"""Requests after which the usual timeouts are recomputed, which takes 0.03 ms."""

MIN_REQUESTS = 20
LEARNING_S = 2.0
"""Requests of a route, or time since the first, before which none counts as a retry."""

DISCONNECT_S = 2.0
DISCONNECT_OBJECTIVES = 4.0
DISCONNECT_PAUSES = 8.0
"""A caller disconnects from a silent stream after the longest of three times: a fixed
one, a multiple of the objective, and a multiple of the longest accepted pause."""

RESUME_TIMEOUT_S = 2.0
"""Longest wait for the next event of a stream that is resumed elsewhere: callers
disconnect after a gap of two seconds."""

MAX_WAIT_SHARE = 0.5
"""Share of the caller's remaining time that a request may wait in the queue. The
response needs the other half."""


@dataclass(slots=True)
class _RouteTimeouts:
    """Recent timeouts of one route, and the usual ones among them."""

    first_s: float
    seen: int = 0
    recent: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_RECENT))
    usual: list[float] = field(default_factory=list)

    def add(self, deadline_s: float) -> None:
        self.seen += 1
        self.recent.append(deadline_s)
        if self.seen <= MIN_REQUESTS or self.seen % RECOMPUTE_EVERY == 0:
            self.usual = _find_usual(sorted(self.recent))

    def is_known(self, now_s: float) -> bool:
        return self.seen >= MIN_REQUESTS or now_s - self.first_s >= LEARNING_S

    def spent_s(self, deadline_s: float) -> float:
        later = (each - deadline_s for each in self.usual)
        # A timeout slightly longer than usual also belongs to a first attempt.
        spent_s = min((each for each in later if each >= -EQUAL_WITHIN_S), default=0.0)
        return spent_s if spent_s > EQUAL_WITHIN_S else 0.0


def _find_usual(ordered: list[float]) -> list[float]:
    """Return the largest values of groups of nearly equal, sorted values."""
    least = max(MIN_USUAL, USUAL_SHARE * len(ordered))
    found: list[float] = []
    end = len(ordered)
    while end:
        top_s = ordered[end - 1]
        begin = bisect.bisect_left(ordered, top_s - EQUAL_WITHIN_S)
        equal = end - begin
        above = bisect.bisect_right(ordered, top_s + TAIL_S) - end
        if equal >= least and above <= TAIL_SHARE * equal:
            found.append(top_s)
            end = begin
        else:
            end -= 1
    return found


class UsualDeadlines:
    """Learns the usual timeouts of each route.

    The state is not persisted: a daemon that starts takes every request for a first
    attempt until it has seen some.
    """

    def __init__(self) -> None:
        self._routes: dict[str, _RouteTimeouts] = {}

    def spent_s(self, route: str, deadline_s: float | None, now_s: float) -> float:
        """Record a request's timeout, and return the time that its caller has spent.

        Parameters
        ----------
        deadline_s : float or None
            How long its caller will still wait, in seconds; None: not stated.
        """
        if deadline_s is None or not math.isfinite(deadline_s):
            return 0.0
        known = self._routes.get(route)
        if known is None:
            known = self._routes[route] = _RouteTimeouts(now_s)
        known.add(deadline_s)
        return known.spent_s(deadline_s) if known.is_known(now_s) else 0.0


@dataclass(slots=True, frozen=True)
class PendingRequest:
    """A request that waits for an engine, with the waiting time of its caller.

    Parameters
    ----------
    key : int
        Identifies the request within its daemon.
    route : Route
        Its route, with rank and objective.
    received_s, deadline_s : float
        When it arrived, and when its caller gives up, on the daemon's clock.
    spent_s : float
        Time that its caller had spent on earlier attempts, in seconds.
    gap_s : float
        Longest pause that is accepted in its stream; 0: unknown.
    mark : str
        Fingerprint of the request; empty where it has none.
    begun : bool
        Whether its caller has received a part of the response.
    may_have_run : bool
        Whether it may have run, so that it cannot be rejected as not run.
    model : ModelRef or None
        Model that it runs on; None: unknown.
    """

    key: int
    route: Route
    received_s: float
    deadline_s: float
    spent_s: float = 0.0
    gap_s: float = 0.0
    mark: str = ""
    begun: bool = False
    may_have_run: bool = False
    model: ModelRef | None = None

    def waited_s(self, now_s: float) -> float:
        """Return how long its caller has waited since its first attempt."""
        return self.spent_s + now_s - self.received_s

    def patience_s(self, waited_s: float, accepted: bool) -> float:
        """Return the longest expected wait for an event to accept it with.

        Parameters
        ----------
        waited_s : float
            How long it counts as having waited so far.
        accepted : bool
            Whether it is already in a queue.
        """
        if self.begun:
            return RESUME_TIMEOUT_S
        return max_first_event_wait_s(self.route, waited_s, accepted)

    @property
    def disconnect_s(self) -> float:
        """Latest time at which its caller disconnects from a silent stream."""
        tolerated_s = max(
            DISCONNECT_S,
            DISCONNECT_OBJECTIVES * self.route.objective_s,
            DISCONNECT_PAUSES * self.gap_s,
        )
        return min(self.deadline_s, self.received_s - self.spent_s + tolerated_s)

    @property
    def wait_ends_s(self) -> float:
        """Until when an overdue request may wait for an engine."""
        half_s = MAX_WAIT_SHARE * (self.deadline_s - self.received_s)
        return min(self.disconnect_s, self.received_s + half_s)
