"""Joins the admission queue to what the daemon knows of its pool."""

import math

from knapweedbridge_core.admission import Admission
from knapweedbridge_core.context import Context
from knapweedbridge_core.events import Request
from knapweedbridge_core.outcomes import Complete, FinalOutcome, NotRun, Reason

RETRY_AFTER_S = 1.0
OVER = 1.5


class AdmissionGate:
    """Decides for one daemon's callers' side what runs, waits or is refused.

    Parameters
    ----------
    context : Context
        What the sides share.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self.admission = Admission()

    def concurrency_limit(self) -> int:
        """Return how many model requests this daemon may run at a time.

        Its part of what the engines run in a step, by the daemons that take
        requests, and a little over: the engines are never filled quite evenly, and
        what is over waits in the fuller ones.
        """
        batches = sum(entry.batch for entry in self._context.engines())
        return math.ceil(batches * OVER / self._daemons()) or 1

    def _daemons(self) -> int:
        return max(1, len(self._context.members.available()))

    def admit(self, request: Request) -> NotRun | None:
        """Take a request, or return why it is refused."""
        refusal = self.admission.refusal(
            request,
            self._context.configuration,
            self._daemons(),
            self.concurrency_limit(),
            self._context.now_s,
        )
        self.admission.limits.begun(request)
        if refusal is None and request.model is not None:
            self.admission.queue.add(request)
        return refusal

    def next(self, running: int) -> Request | None:
        """Return the next request to run, if there is a place for it."""
        if running >= self.concurrency_limit():
            return None
        teams = self._context.configuration.teams.values()
        request = self.admission.queue.pop({team.name: team.share for team in teams})
        if request is not None:
            self.admission.taken(request)
        return request

    def refused_waiting(self) -> list[tuple[Request, NotRun]]:
        """Return the waiting requests that are refused now."""
        refused = self.admission.infeasible(
            self._context.configuration, self.concurrency_limit(), self._context.now_s
        )
        last = self.admission.overflow()
        if last is not None:
            refused.append((last, NotRun(Reason.OVERLOAD, RETRY_AFTER_S)))
        self.admission.limits.forget_idle(self._context.now_s)
        return refused

    def ended(self, request: Request, outcome: FinalOutcome, begun_s: float) -> None:
        """Take a request that is over."""
        self.admission.queue.remove(request)
        self.admission.limits.ended(request)
        if isinstance(outcome, Complete) and begun_s:
            self.admission.served(request, self._context.now_s - begun_s)
