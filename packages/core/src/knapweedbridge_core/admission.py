"""Which requests are taken, which wait, and which are refused at once."""

from knapweedbridge_core.configuration import Configuration
from knapweedbridge_core.events import Request
from knapweedbridge_core.fair_queue import PRIORITIES, FairQueue
from knapweedbridge_core.limits import Limits
from knapweedbridge_core.outcomes import NotRun, Reason

SMOOTHING = 0.1
MIX_SMOOTHING = 0.02
LEAST_LEFT = 0.01
# The part that higher priorities took swings about its mean. Who is taken on arrival
# must make it in a worse mix as well, or is refused later, as soon as it swings.
CAUTION = 1.3
SHORTEST_RETRY_AFTER_S = 1.0
QUEUE_REQUESTS = 1000
CALLER_REQUESTS = 200


class Admission:
    """The queue before the engines of one daemon.

    A request waits while as many run as this daemon may run. One that cannot be
    answered within its deadline is refused at once, with when to come back, so
    that no place is spent on an answer that nobody waits for.

    Parameters
    ----------
    queue_requests, caller_requests : int
        Bounds of the queue, in all and for a caller and priority.
    """

    def __init__(
        self,
        queue_requests: int = QUEUE_REQUESTS,
        caller_requests: int = CALLER_REQUESTS,
    ) -> None:
        self.queue = FairQueue()
        self.limits = Limits()
        self._queue_requests = queue_requests
        self._caller_requests = caller_requests
        self._service_s: dict[str, float] = {}
        self._taken: dict[str, float] = {}

    def service_s(self, request: Request) -> float:
        """Return how long a request like this runs, as measured."""
        return self._service_s.get(request.priority, 0.0)

    def served(self, request: Request, took_s: float) -> None:
        """Take the time that an answered request ran."""
        old = self._service_s.get(request.priority, took_s)
        self._service_s[request.priority] = old + SMOOTHING * (took_s - old)

    def pace_s(
        self, priority: str, concurrency_limit: int, caution: float = 1.0
    ) -> float:
        """Predict how long a request waits for each one before it."""
        known = [
            self._service_s[name] for name in PRIORITIES if name in self._service_s
        ]
        mean_s = sum(known) / len(known) if known else 0.0
        # Requests of a higher priority that arrive meanwhile go first as well: the
        # part of the places that they took of late is not left for this one.
        higher = PRIORITIES[: PRIORITIES.index(priority)]
        taken = sum(self._taken.get(name, 0.0) for name in higher)
        left = max(LEAST_LEFT, 1.0 - caution * taken)
        return mean_s / (concurrency_limit * left)

    def taken(self, request: Request) -> None:
        """Note that a request took a place."""
        for name in PRIORITIES:
            old = self._taken.get(name, 0.0)
            part = float(name == request.priority)
            self._taken[name] = old + MIX_SMOOTHING * (part - old)

    def refusal(
        self,
        request: Request,
        configuration: Configuration,
        daemons: int,
        concurrency_limit: int,
        now_s: float,
    ) -> NotRun | None:
        """Return why a request is refused on arrival, or None."""
        wait_s = self.limits.wait_s(request, configuration, daemons, now_s)
        if wait_s > 0:
            return _come_back(Reason.LIMIT, wait_s)
        ahead = self.queue.ahead(request, _shares(configuration))
        wait_s = ahead * self.pace_s(request.priority, concurrency_limit, CAUTION)
        late = self._is_late(request, wait_s, now_s)
        full = self.queue.of_caller(request) >= self._caller_requests
        if late or full:
            return _come_back(Reason.OVERLOAD, wait_s)
        return None

    def overflow(self) -> Request | None:
        """Return the request that must leave a queue that grew too long."""
        return self.queue.last() if len(self.queue) > self._queue_requests else None

    def infeasible(
        self, configuration: Configuration, concurrency_limit: int, now_s: float
    ) -> list[tuple[Request, NotRun]]:
        """Return the waiting requests that can no longer be answered in time.

        By the same prediction as on arrival, with what waits before each now: one
        that later and more urgent requests pushed back is refused as they arrive,
        and not once its time is over.
        """
        refused = []
        ahead = 0
        paces_s = {name: self.pace_s(name, concurrency_limit) for name in PRIORITIES}
        for request in self.queue.in_order(_shares(configuration)):
            wait_s = ahead * paces_s[request.priority]
            if self._is_late(request, wait_s, now_s):
                refused.append((request, _come_back(Reason.OVERLOAD, wait_s)))
            else:
                ahead += 1
        return refused

    def _is_late(self, request: Request, wait_s: float, now_s: float) -> bool:
        return now_s + wait_s + self.service_s(request) > request.deadline_s


def _shares(configuration: Configuration) -> dict[str, float]:
    return {name: team.share for name, team in configuration.teams.items()}


def _come_back(reason: Reason, wait_s: float) -> NotRun:
    return NotRun(reason, max(SHORTEST_RETRY_AFTER_S, wait_s))
