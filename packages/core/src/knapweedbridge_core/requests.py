"""The life of the requests that this daemon took from callers."""

from dataclasses import dataclass, field

from knapweedbridge_core.events import Request
from knapweedbridge_core.outcomes import NotRun, Outcome, Reason, Unknown


@dataclass(slots=True)
class LiveRequest:
    """A request that has no final outcome yet.

    Parameters
    ----------
    owner : str
        Who was asked for the grant of the present attempt, and gets it back.
    retry_at_s : float
        Before this time it is not routed again, on the daemon's clock.
    claiming : bool
        Whether its claim is still asked for; until then it is not routed.
    resumes : int
        Times the present attempt was resumed in a row without a token.
    resumed_at : int
        Tokens that the caller had at the last resume.
    delivered : int
        Tokens that the caller has, of all attempts.
    maybe_ran : Reason or None
        Why an earlier attempt may have run, if one may have.
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
    begun_s: float = 0.0
    tried: set[str] = field(default_factory=set)

    @property
    def attempts_run(self) -> int:
        """Attempts that were dispatched."""
        return self.attempts - self.attempts_unused

    def next_attempt(self, endpoint: str, owner: str = "") -> str:
        """Begin another attempt and return its id."""
        self.attempts += 1
        self.endpoint = endpoint
        self.owner = owner
        self.attempt_id = f"{self.request.request_id}.{self.attempts}"
        self.dispatched = False
        self.resumes = 0
        self.tried.add(endpoint)
        return self.attempt_id

    def count_resume(self) -> None:
        """Count a resume; those before the last delivered token are forgotten."""
        if self.delivered > self.resumed_at:
            self.resumes = 0
        self.resumes += 1
        self.resumed_at = self.delivered

    def note(self, outcome: Outcome) -> None:
        """Keep of an attempt's outcome what binds the request's own."""
        if isinstance(outcome, Unknown):
            self.maybe_ran = outcome.reason
            self.delivered = max(self.delivered, outcome.tokens)

    def honest(self, outcome: Outcome) -> Outcome:
        """Return an outcome that no earlier attempt contradicts.

        A request of which one attempt may have run is not told to be not run,
        whatever became of the attempts after it.
        """
        if isinstance(outcome, NotRun) and self.maybe_ran is not None:
            return Unknown(self.maybe_ran, self.delivered, outcome.retry_after_s)
        return outcome
