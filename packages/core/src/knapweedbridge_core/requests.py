"""The life of the requests that this daemon took from callers."""

from dataclasses import dataclass, field

from knapweedbridge_core.events import Request
from knapweedbridge_core.outcomes import Complete, NotRun, Outcome

MAX_ATTEMPTS = 3


@dataclass(slots=True)
class LiveRequest:
    """A request that has no final outcome yet."""

    request: Request
    attempts: int = 0
    attempts_unused: int = 0
    asked_s: float = 0.0
    attempt_id: str = ""
    endpoint: str = ""
    dispatched: bool = False
    tried: set[str] = field(default_factory=set)

    @property
    def attempts_run(self) -> int:
        """Attempts that were dispatched."""
        return self.attempts - self.attempts_unused

    def next_attempt(self, endpoint: str) -> str:
        """Begin another attempt and return its id."""
        self.attempts += 1
        self.endpoint = endpoint
        self.attempt_id = f"{self.request.request_id}.{self.attempts}"
        self.dispatched = False
        self.tried.add(endpoint)
        return self.attempt_id


def may_retry(live: LiveRequest, outcome: Outcome, now_s: float) -> bool:
    """Tell whether another attempt is allowed after an outcome."""
    if isinstance(outcome, Complete):
        return False
    if now_s >= live.request.deadline_s or live.attempts_run >= MAX_ATTEMPTS:
        return False
    if isinstance(outcome, NotRun):
        return True
    return not live.request.non_idempotent and outcome.tokens == 0
