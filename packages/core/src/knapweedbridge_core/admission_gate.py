"""Admission of requests with the daemon's current view of engines and peers."""

import math

from knapweedbridge_core.admission import Admission
from knapweedbridge_core.context import Context
from knapweedbridge_core.events import Request
from knapweedbridge_core.outcomes import Complete, FinalOutcome, NotRun, Reason

RETRY_AFTER_S = 1.0
OVERCOMMIT = 1.5


class AdmissionGate:
    """Decides which requests of a daemon's callers run, wait or are refused.

    Parameters
    ----------
    context : Context
        State shared by the sides of the core.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self.admission = Admission()

    def concurrency_limit(self) -> int:
        """Return how many model requests this daemon may run at a time.

        This is an equal part, among the daemons that take requests, of what the engines
        run in a step, overcommitted: engines are never loaded quite evenly, and the
        excess waits at the fuller ones.
        """
        batches = sum(entry.batch for entry in self._context.engines())
        return math.ceil(batches * OVERCOMMIT / self._daemons()) or 1

    def _daemons(self) -> int:
        return max(1, len(self._context.members.available()))

    def admit(self, request: Request) -> NotRun | None:
        """Queue a model request, or return why a request is refused."""
        refusal = self.admission.check_arrival(
            request,
            self._context.configuration,
            self._daemons(),
            self.concurrency_limit(),
            self._context.now_s,
        )
        self.admission.limits.record_start(request)
        if refusal is None and request.model is not None:
            self.admission.queue.add(request)
        return refusal

    def pop(self, running: int) -> Request | None:
        """Remove and return the next request to run, or None at the limit."""
        if running >= self.concurrency_limit():
            return None
        teams = self._context.configuration.teams.values()
        request = self.admission.queue.pop({team.name: team.share for team in teams})
        if request is not None:
            self.admission.record_start(request)
        return request

    def refused_waiting(self) -> list[tuple[Request, NotRun]]:
        """Return the waiting requests to refuse now, each with its outcome."""
        refused = self.admission.infeasible(
            self._context.configuration, self.concurrency_limit(), self._context.now_s
        )
        last = self.admission.overflow()
        if last is not None:
            refused.append((last, NotRun(Reason.OVERLOAD, RETRY_AFTER_S)))
        self.admission.limits.remove_idle(self._context.now_s)
        return refused

    def record_end(
        self, request: Request, outcome: FinalOutcome, started_s: float
    ) -> None:
        """Record that a request is over, and its service time if it was answered."""
        self.admission.queue.remove(request)
        self.admission.limits.record_end(request)
        if isinstance(outcome, Complete) and started_s:
            self.admission.record_service_time(request, self._context.now_s - started_s)
