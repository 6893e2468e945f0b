"""Whether an attempt that failed is followed by another, and when."""

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
    """Token bucket that requests fill and retries empty.

    Under an outage every request fails; without the bucket each would be
    attempted `MAX_ATTEMPTS` times, and the retries would multiply the load on
    the endpoints that are left.

    Parameters
    ----------
    ratio : float
        Retries earned by a request.
    min_per_s : float
        Retries earned by a second, so that a daemon with few requests can retry.
    limit : float
        Retries that may be saved up.
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
        self._saved = 1.0
        self._filled_s: float | None = None

    def earn(self, now_s: float) -> None:
        """Take note of one new request."""
        self._fill(now_s)
        self._saved = min(self._limit, self._saved + self._ratio)

    def spend(self, now_s: float) -> bool:
        """Take one retry from the bucket; False where there is none."""
        self._fill(now_s)
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True

    def _fill(self, now_s: float) -> None:
        since_s = now_s - self._filled_s if self._filled_s is not None else 0.0
        self._filled_s = now_s
        earned = max(0.0, since_s) * self._min_per_s
        self._saved = min(self._limit, self._saved + earned)


@dataclass(slots=True, frozen=True)
class Final:
    """The request ends with this outcome, at once."""

    outcome: Outcome


@dataclass(slots=True, frozen=True)
class Again:
    """Another attempt is to begin at this time, on the daemon's clock."""

    at_s: float


@dataclass(slots=True, frozen=True)
class GoOn:
    """The same attempt is to be resumed at its offset."""


Decision = Final | Again | GoOn


def decide(
    live: LiveRequest, outcome: Outcome, budget: RetryBudget, now_s: float
) -> Decision:
    """Decide what follows an attempt.

    Parameters
    ----------
    live : LiveRequest
        The request; its `maybe_ran` already tells of this outcome.
    outcome : Outcome
        How the attempt ended.
    budget : RetryBudget
        Spent from where another attempt is allowed.
    now_s : float
        Seconds on the daemon's clock.
    """
    if isinstance(outcome, Complete):
        return Final(outcome)
    if now_s >= live.request.deadline_s:
        return Final(outcome)
    if _may_resume(live, outcome):
        return GoOn()
    if not _may_repeat(live, outcome):
        return Final(outcome)
    at_s = now_s + _backoff_s(live)
    if at_s >= live.request.deadline_s or not budget.spend(now_s):
        return Final(_come_back(outcome))
    return Again(at_s)


def _may_resume(live: LiveRequest, outcome: Outcome) -> bool:
    if not isinstance(outcome, Unknown) or outcome.reason not in RESUMABLE:
        return False
    streamed = live.request.streamed and live.request.model is not None
    got_on = live.delivered > live.resumed_at
    return streamed and (got_on or live.resumes < MAX_RESUMES)


def _may_repeat(live: LiveRequest, outcome: Outcome) -> bool:
    if live.attempts_run >= MAX_ATTEMPTS:
        return False
    if isinstance(outcome, NotRun):
        # Text of an earlier attempt may have reached the caller: a new
        # attempt would give it twice.
        return live.delivered == 0
    if live.request.non_idempotent:
        return False
    return isinstance(outcome, Unknown) and outcome.tokens == 0 and live.delivered == 0


def _backoff_s(live: LiveRequest) -> float:
    # The first retry goes elsewhere and at once; later ones wait twice as
    # long each, spread by the attempt's id so that they do not come together.
    if live.attempts_run < 2:
        return 0.0
    digest = hashlib.blake2b(live.attempt_id.encode(), digest_size=2).digest()
    spread = 0.5 + int.from_bytes(digest, "big") / 131072
    return BACKOFF_S * 2 ** (live.attempts_run - 2) * spread


def _come_back(outcome: Outcome) -> Outcome:
    if isinstance(outcome, Complete) or outcome.retry_after_s is not None:
        return outcome
    return replace(outcome, retry_after_s=RETRY_AFTER_S)
