"""How long a caller has waited before its request came here.

A request states how long its caller will still wait. First attempts of one kind of
client all state the same time, so the difference to that time has been spent on
attempts that were refused elsewhere.
"""

import bisect
import math
from collections import deque
from dataclasses import dataclass, field

from knapweedbridge_core.serving.attempts import max_first_event_wait_s
from knapweedbridge_core.serving.deployment import Route
from knapweedbridge_core.serving.model_ref import ModelRef

SAME_S = 0.1
"""Difference of two deadlines that counts as none: clients round, and take some
hundredths of a second from setting a deadline to sending it."""

KEPT = 64
"""Deadlines of a route that are remembered: a daemon of 76 gets 5 requests a second, so
these are of the last ten seconds or more."""

USUAL_SHARE = 0.1
USUAL_LEAST = 3
"""Share and number of the remembered deadlines that must be alike to be usual. Those of
retries are spread over seconds, with one in forty within `SAME_S`; one client with a
deadline of its own must not make all others look as if they had waited."""

TAIL_S = 0.5
TAIL_PART = 0.3
"""Deadlines that are alike are those of retries if more than this part of their number
lies within this time above them: immediate retries trail after their first attempt."""

RENEWED_AFTER = 8
"""Requests after which the usual deadlines are found anew: it takes 0.03 ms."""

KNOWN_AFTER = 20
KNOWN_AFTER_S = 2.0
"""Requests of a route, or time since the first, before which none counts as a retry."""

LEAVES_S = 2.0
LEAVES_OBJECTIVES = 4.0
LEAVES_PAUSES = 8.0
"""After how long a caller leaves a silent stream: the longest of the three."""

RESUME_PATIENCE_S = 2.0
"""Longest wait for the next event of a stream that is continued elsewhere: callers
leave after a gap of two seconds."""

WAIT_PART = 0.5
"""Part of the time left to a caller that its request may wait: the response needs the
other half."""


@dataclass(slots=True)
class _RouteDeadlines:
    """Deadlines of one route, and the usual ones among them."""

    first_s: float
    seen: int = 0
    recent: deque[float] = field(default_factory=lambda: deque(maxlen=KEPT))
    usual: list[float] = field(default_factory=list)

    def note(self, deadline_s: float) -> None:
        self.seen += 1
        self.recent.append(deadline_s)
        if self.seen <= KNOWN_AFTER or self.seen % RENEWED_AFTER == 0:
            self.usual = _usual(sorted(self.recent))

    def is_known(self, now_s: float) -> bool:
        return self.seen >= KNOWN_AFTER or now_s - self.first_s >= KNOWN_AFTER_S

    def spent_s(self, deadline_s: float) -> float:
        later = (each - deadline_s for each in self.usual)
        # Stated a little longer than usual, it is a first attempt as well.
        spent_s = min((each for each in later if each >= -SAME_S), default=0.0)
        return spent_s if spent_s > SAME_S else 0.0


def _usual(ordered: list[float]) -> list[float]:
    """Return the values that many of the ordered ones lie just below."""
    least = max(USUAL_LEAST, USUAL_SHARE * len(ordered))
    found: list[float] = []
    end = len(ordered)
    while end:
        top_s = ordered[end - 1]
        begin = bisect.bisect_left(ordered, top_s - SAME_S)
        alike = end - begin
        above = bisect.bisect_right(ordered, top_s + TAIL_S) - end
        if alike >= least and above <= TAIL_PART * alike:
            found.append(top_s)
            end = begin
        else:
            end -= 1
    return found


class UsualDeadlines:
    """Learns the usual deadlines of each route.

    Lost with its daemon: one that starts takes every request for a first attempt until
    it has seen some.
    """

    def __init__(self) -> None:
        self._routes: dict[str, _RouteDeadlines] = {}

    def spent_s(self, route: str, deadline_s: float | None, now_s: float) -> float:
        """Take a request's deadline, and return what its caller has spent of it.

        Parameters
        ----------
        deadline_s : float or None
            How long its caller will still wait, in seconds; None: it does not say.
        """
        if deadline_s is None or not math.isfinite(deadline_s):
            return 0.0
        known = self._routes.get(route)
        if known is None:
            known = self._routes[route] = _RouteDeadlines(now_s)
        known.note(deadline_s)
        return known.spent_s(deadline_s) if known.is_known(now_s) else 0.0


@dataclass(slots=True, frozen=True)
class PendingRequest:
    """One request, by what its caller has waited and will wait.

    Parameters
    ----------
    key : int
        What the request is known by while its daemon has it.
    route : Route
        The route that takes it, with its rank and objective.
    received_s, deadline_s : float
        When it came, and when its caller gives up, on the daemon's clock.
    spent_s : float
        Time that its caller had spent before, in seconds.
    gap_s : float
        Longest pause that its stream accepts; 0: not known.
    mark : str
        Fingerprint of the request; empty where it has none.
    begun : bool
        Whether its caller has had a part of the response.
    may_have_run : bool
        Whether it can no longer be refused as one that was not run.
    model : ModelRef or None
        What it is run on; None: not known.
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
        """Return how long its caller has waited, from its first attempt on."""
        return self.spent_s + now_s - self.received_s

    def patience_s(self, waited_s: float, accepted: bool) -> float:
        """Return the longest wait for an event that it is accepted with.

        Parameters
        ----------
        waited_s : float
            What counts as waited until now.
        accepted : bool
            Whether it waits for an engine already.
        """
        if self.begun:
            return RESUME_PATIENCE_S
        return max_first_event_wait_s(self.route, waited_s, accepted)

    @property
    def leaves_s(self) -> float:
        """When its caller leaves a stream that stays silent, at the latest."""
        bearable_s = max(
            LEAVES_S,
            LEAVES_OBJECTIVES * self.route.objective_s,
            LEAVES_PAUSES * self.gap_s,
        )
        return min(self.deadline_s, self.received_s - self.spent_s + bearable_s)

    @property
    def wait_ends_s(self) -> float:
        """Until when it may wait for an engine, if it is overdue."""
        half_s = WAIT_PART * (self.deadline_s - self.received_s)
        return min(self.leaves_s, self.received_s + half_s)
