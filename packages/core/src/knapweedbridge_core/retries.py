"""Decides whether a failed attempt is retried or resumed, and when."""

import hashlib
from dataclasses import dataclass, replace

from knapweedbridge_core.outcomes import Complete, NotRun, Outcome, Reason, Unknown
from knapweedbridge_core.requests import LiveRequest

MAX_ATTEMPTS = 3
MAX_RESUMES = 3
RETRY_AFTER_S = 1.0
BACKOFF_S = 0.1
BUDGET_RATIO = 0.08
BUDGET_MIN_PER_S = 0.05
BUDGET_LIMIT = 5.0

RESUMABLE = frozenset({Reason.STREAM_BROKEN, Reason.SILENT})


class RetryBudget:
    """Token bucket that requests fill and retries drain.

    In an outage every request fails. Without the budget each would be attempted
    `MAX_ATTEMPTS` times, and the retries would multiply the load on the endpoints that
    are left.

    Parameters
    ----------
    ratio : float
        Retries earned per request.
    min_per_s : float
        Retries earned per second, so that a daemon with few requests can retry.
    limit : float
        Greatest number of retries that are saved up.
    """

    def __init__(
        self,
        ratio: float = BUDGET_RATIO,
        min_per_s: float = BUDGET_MIN_PER_S,
        limit: float = BUDGET_LIMIT,
    ) -> None:
        self._ratio = ratio
        self._min_per_s = min_per_s
        self._limit = limit
        self._tokens = 1.0
        self._filled_s: float | None = None

    def earn(self, now_s: float) -> None:
        """Fill the bucket for one new request."""
        self._fill(now_s)
        self._tokens = min(self._limit, self._tokens + self._ratio)

    def spend(self, now_s: float) -> bool:
        """Take one retry from the bucket; return False if there is none."""
        self._fill(now_s)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _fill(self, now_s: float) -> None:
        elapsed_s = now_s - self._filled_s if self._filled_s is not None else 0.0
        self._filled_s = now_s
        earned = max(0.0, elapsed_s) * self._min_per_s
        self._tokens = min(self._limit, self._tokens + earned)


@dataclass(slots=True, frozen=True)
class Final:
    """The request ends with this outcome, at once."""

    outcome: Outcome


@dataclass(slots=True, frozen=True)
class Retry:
    """Another attempt starts at this time, on the daemon's clock."""

    at_s: float


@dataclass(slots=True, frozen=True)
class ResumeAttempt:
    """The same attempt is resumed at its offset."""


Decision = Final | Retry | ResumeAttempt


def decide(
    live: LiveRequest, outcome: Outcome, budget: RetryBudget, now_s: float
) -> Decision:
    """Decide what follows an attempt.

    Parameters
    ----------
    live : LiveRequest
        The request, in which this outcome is already recorded.
    outcome : Outcome
        How the attempt ended.
    budget : RetryBudget
        Budget that another attempt is taken from.
    now_s : float
        Seconds on the daemon's clock.
    """
    if isinstance(outcome, Complete):
        return Final(outcome)
    if now_s >= live.request.deadline_s:
        return Final(outcome)
    if _may_resume(live, outcome):
        return ResumeAttempt()
    if not _may_retry(live, outcome):
        return Final(outcome)
    at_s = now_s + _backoff_s(live)
    if at_s >= live.request.deadline_s or not budget.spend(now_s):
        return Final(_with_retry_after(outcome))
    return Retry(at_s)


def _may_resume(live: LiveRequest, outcome: Outcome) -> bool:
    if not isinstance(outcome, Unknown) or outcome.reason not in RESUMABLE:
        return False
    streamed = live.request.streamed and live.request.model is not None
    progressed = live.delivered > live.resumed_at
    return streamed and (progressed or live.resumes < MAX_RESUMES)


def _may_retry(live: LiveRequest, outcome: Outcome) -> bool:
    if live.attempts_dispatched >= MAX_ATTEMPTS:
        return False
    if isinstance(outcome, NotRun):
        # The caller may have received text of an earlier attempt, which a new attempt
        # would repeat.
        return live.delivered == 0
    if live.request.non_idempotent:
        return False
    return isinstance(outcome, Unknown) and outcome.tokens == 0 and live.delivered == 0


def _backoff_s(live: LiveRequest) -> float:
    # The first retry goes to another endpoint, without a delay. Each later one waits
    # twice as long, with a jitter derived from the attempt's id.
    if live.attempts_dispatched < 2:
        return 0.0
    digest = hashlib.blake2b(live.attempt_id.encode(), digest_size=2).digest()
    jitter = 0.5 + int.from_bytes(digest, "big") / 131072
    return BACKOFF_S * 2 ** (live.attempts_dispatched - 2) * jitter


def _with_retry_after(outcome: Outcome) -> Outcome:
    if isinstance(outcome, Complete) or outcome.retry_after_s is not None:
        return outcome
    return replace(outcome, retry_after_s=RETRY_AFTER_S)
