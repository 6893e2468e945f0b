"""Admission of requests: which start, which wait and which are refused at once."""

from knapweedbridge_core.configuration import Configuration
from knapweedbridge_core.events import Request
from knapweedbridge_core.fair_queue import PRIORITIES, FairQueue
from knapweedbridge_core.limits import Limits
from knapweedbridge_core.outcomes import NotRun, Reason

SERVICE_TIME_SMOOTHING = 0.1
PRIORITY_MIX_SMOOTHING = 0.02
MIN_CAPACITY_SHARE = 0.01
# The share of capacity that higher priorities take fluctuates about its mean. A request
# that meets its deadline only in the mean mix would be refused at the next fluctuation,
# so admission assumes a higher share than the mean.
ARRIVAL_SAFETY_FACTOR = 1.3
MIN_RETRY_AFTER_S = 1.0
MAX_QUEUED = 1000
MAX_QUEUED_PER_CALLER = 200


class Admission:
    """Queue of requests in front of the engines, for one daemon.

    A request waits while the daemon runs as many requests as it may. One that cannot
    be answered within its deadline is refused at once, with a time to retry after, so
    that no capacity is spent on a response that comes too late.

    Parameters
    ----------
    max_queued, max_queued_per_caller : int
        Bounds of the queue, in total and for each caller and priority.
    """

    def __init__(
        self,
        max_queued: int = MAX_QUEUED,
        max_queued_per_caller: int = MAX_QUEUED_PER_CALLER,
    ) -> None:
        self.queue = FairQueue()
        self.limits = Limits()
        self._max_queued = max_queued
        self._max_queued_per_caller = max_queued_per_caller
        self._service_s: dict[str, float] = {}
        self._capacity_shares: dict[str, float] = {}

    def expected_service_s(self, request: Request) -> float:
        """Return the measured service time of requests of this priority."""
        return self._service_s.get(request.priority, 0.0)

    def record_service_time(self, request: Request, service_s: float) -> None:
        """Record how long an answered request ran."""
        old = self._service_s.get(request.priority, service_s)
        self._service_s[request.priority] = old + SERVICE_TIME_SMOOTHING * (
            service_s - old
        )

    def wait_per_request_s(
        self, priority: str, concurrency_limit: int, safety_factor: float = 1.0
    ) -> float:
        """Predict how long a request waits for each request ahead of it."""
        known = [
            self._service_s[name] for name in PRIORITIES if name in self._service_s
        ]
        mean_s = sum(known) / len(known) if known else 0.0
        # Requests of a higher priority that arrive in the meantime also go first, so
        # the capacity share that they recently took is not available to this one.
        higher = PRIORITIES[: PRIORITIES.index(priority)]
        taken = sum(self._capacity_shares.get(name, 0.0) for name in higher)
        available = max(MIN_CAPACITY_SHARE, 1.0 - safety_factor * taken)
        return mean_s / (concurrency_limit * available)

    def record_start(self, request: Request) -> None:
        """Record that a request left the queue to run."""
        for name in PRIORITIES:
            old = self._capacity_shares.get(name, 0.0)
            started = float(name == request.priority)
            self._capacity_shares[name] = old + PRIORITY_MIX_SMOOTHING * (started - old)

    def check_arrival(
        self,
        request: Request,
        configuration: Configuration,
        daemons: int,
        concurrency_limit: int,
        now_s: float,
    ) -> NotRun | None:
        """Return why a request is refused on arrival, or None."""
        wait_s = self.limits.acquire(request, configuration, daemons, now_s)
        if wait_s > 0:
            return _refusal(Reason.LIMIT, wait_s)
        ahead = self.queue.count_ahead(request, _shares(configuration))
        wait_s = ahead * self.wait_per_request_s(
            request.priority, concurrency_limit, ARRIVAL_SAFETY_FACTOR
        )
        late = self._is_late(request, wait_s, now_s)
        full = self.queue.count_of_caller(request) >= self._max_queued_per_caller
        if late or full:
            return _refusal(Reason.OVERLOAD, wait_s)
        return None

    def overflow(self) -> Request | None:
        """Return the request to drop from a queue above its bound, or None."""
        return self.queue.last() if len(self.queue) > self._max_queued else None

    def infeasible(
        self, configuration: Configuration, concurrency_limit: int, now_s: float
    ) -> list[tuple[Request, NotRun]]:
        """Return the waiting requests that can no longer be answered in time.

        Uses the prediction made on arrival with what is now ahead of each request: a
        request that is overtaken by more urgent ones is refused when they arrive, not
        at its deadline.
        """
        refused = []
        ahead = 0
        waits_s = {
            name: self.wait_per_request_s(name, concurrency_limit)
            for name in PRIORITIES
        }
        for request in self.queue.in_order(_shares(configuration)):
            wait_s = ahead * waits_s[request.priority]
            if self._is_late(request, wait_s, now_s):
                refused.append((request, _refusal(Reason.OVERLOAD, wait_s)))
            else:
                ahead += 1
        return refused

    def _is_late(self, request: Request, wait_s: float, now_s: float) -> bool:
        return now_s + wait_s + self.expected_service_s(request) > request.deadline_s


def _shares(configuration: Configuration) -> dict[str, float]:
    return {name: team.share for name, team in configuration.teams.items()}


def _refusal(reason: Reason, wait_s: float) -> NotRun:
    return NotRun(reason, max(MIN_RETRY_AFTER_S, wait_s))
