"""State of the requests that this daemon received from callers."""

from dataclasses import dataclass, field

from knapweedbridge_core.events import Request
from knapweedbridge_core.outcomes import NotRun, Outcome, Reason, Unknown


@dataclass(slots=True)
class LiveRequest:
    """A request without a final outcome yet.

    Parameters
    ----------
    attempts_unused : int
        Attempts that were never dispatched.
    asked_s : float
        When the grant of the current attempt was requested.
    owner : str
        Owner that was asked for the grant of the current attempt, and gets it back.
    retry_at_s : float
        Earliest time of the next routing, on the daemon's clock.
    claiming : bool
        Whether its claim is being requested; it is not routed before it is held.
    resumes : int
        Consecutive resumes of the current attempt without a new token.
    resumed_at : int
        Tokens delivered at the last resume.
    delivered : int
        Tokens delivered to the caller, over all attempts.
    maybe_ran : Reason or None
        Why an earlier attempt may have run, or None if no attempt may have.
    """

    request: Request
    attempts: int = 0
    attempts_unused: int = 0
    asked_s: float = 0.0
    attempt_id: str = ""
    endpoint: str = ""
    owner: str = ""
    dispatched: bool = False
    retry_at_s: float = 0.0
    claiming: bool = False
    resumes: int = 0
    resumed_at: int = 0
    delivered: int = 0
    maybe_ran: Reason | None = None
    suspect: bool = False
    queued: bool = False
    started_s: float = 0.0
    tried: set[str] = field(default_factory=set)

    @property
    def attempts_dispatched(self) -> int:
        """Attempts that were dispatched."""
        return self.attempts - self.attempts_unused

    def start_attempt(self, endpoint: str, owner: str = "") -> str:
        """Start another attempt and return its id."""
        self.attempts += 1
        self.endpoint = endpoint
        self.owner = owner
        self.attempt_id = f"{self.request.request_id}.{self.attempts}"
        self.dispatched = False
        self.resumes = 0
        self.tried.add(endpoint)
        return self.attempt_id

    def count_resume(self) -> None:
        """Count a resume; a token delivered since the last one restarts the count."""
        if self.delivered > self.resumed_at:
            self.resumes = 0
        self.resumes += 1
        self.resumed_at = self.delivered

    def record_outcome(self, outcome: Outcome) -> None:
        """Record what an attempt's outcome implies for the request's outcome."""
        if isinstance(outcome, Unknown):
            self.maybe_ran = outcome.reason
            self.delivered = max(self.delivered, outcome.tokens)

    def reconcile(self, outcome: Outcome) -> Outcome:
        """Return an outcome that is consistent with all earlier attempts.

        If one attempt may have run, the request is not reported as not run, whatever
        the outcomes of the attempts after it.
        """
        if isinstance(outcome, NotRun) and self.maybe_ran is not None:
            return Unknown(self.maybe_ran, self.delivered, outcome.retry_after_s)
        return outcome
