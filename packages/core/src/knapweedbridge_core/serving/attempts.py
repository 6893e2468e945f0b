"""What becomes of a call after an attempt: answered, sent again, or given up."""

from dataclasses import dataclass, field
from enum import Enum

from knapweedbridge_core.serving.deployment import CallKind, Route

SENDS_MOST = 6
"""Most sends of one call, those that an endpoint refused to run among them."""


class AttemptEnd(Enum):
    """How an attempt ended, by what is proved of it.

    ``NOT_RUN``: the endpoint says so, or no byte of the call was written.
    ``FAILED``: the endpoint ran it and answered with a failure of its own.
    ``BROKEN``: it may have run; no whole answer came.
    ``ABANDONED``: it was ended from here: the caller left, or its time was up. That
    says nothing of the endpoint.
    ``WITHHELD``: it was not sent, as the endpoint takes no call now.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    FAILED = "failed"
    BROKEN = "broken"
    ABANDONED = "abandoned"
    WITHHELD = "withheld"


@dataclass(slots=True)
class CallProgress:
    """What one call has behind it.

    Parameters
    ----------
    runs : set of str
        Endpoints on which it ran or may have run.
    sends : int
        Attempts sent to any endpoint.
    events : int
        Events of a stream that were passed on.
    """

    runs: set[str] = field(default_factory=set)
    sends: int = 0
    begun: bool = False

    @property
    def may_have_run(self) -> bool:
        """Whether any endpoint may have run it."""
        return bool(self.runs)


def may_retry(route: Route, progress: CallProgress, end: AttemptEnd) -> bool:
    """Tell whether a call may be sent once more, the retry budget aside."""
    if progress.sends >= SENDS_MOST:
        return False
    if end is AttemptEnd.NOT_RUN and not progress.may_have_run:
        return True
    if not route.repeatable:
        return False
    return len(progress.runs) < route.max_attempts


def resumes(route: Route, progress: CallProgress) -> bool:
    """Tell whether another endpoint must go on where the last one stopped."""
    return route.kind is CallKind.STREAM and progress.begun


ENGINE_PATIENCE_S = 0.7
"""Longest wait for an idle engine's first event. Reading the longest prompt takes
0.15 s, and callers leave a silent stream after 2 s: an answer that is lost can still
come from another engine. With 0.3 s, calls of a crowd were begun twice and lost."""

READING_PATIENCE = 3.0
"""Times that an engine's forecast may be exceeded: others' calls are known late."""

PLAIN_PATIENCE = 0.6
"""Longest wait for a plain answer, in objectives: a second endpoint's answer then
comes within the objective as often as not."""


def first_byte_timeout_s(route: Route, reading_s: float) -> float:
    """Return how long an attempt may stay silent before another is better.

    An answer can be lost, or its endpoint dark, with the connection open. Only calls
    that may be repeated are given up this way.

    Parameters
    ----------
    reading_s : float
        Forecast of the time until the endpoint begins with the call.
    """
    if route.kind is CallKind.STREAM:
        return ENGINE_PATIENCE_S + READING_PATIENCE * reading_s
    return PLAIN_PATIENCE * route.objective_s


URGENCY_STEP = 0.12
"""Part of the objective by which each rank of urgency is refused sooner: where not all
can be served in time, the less urgent make way, and all of a kind alike."""

LEAST_PART = 0.5
WAITED_PART = 1.0
"""Part of the objective up to which a call that was accepted is not given up: it has a
place in the line, its own wish counts among those before it, and the forecast is off
by some tenths of a second."""


def max_first_event_wait_s(route: Route, waited_s: float, accepted: bool) -> float:
    """Return the longest wait for a first event that a call is accepted with.

    Parameters
    ----------
    waited_s : float
        How long the caller has waited.
    accepted : bool
        Whether it waits in a line already.
    """
    part = max(LEAST_PART, 1.0 - URGENCY_STEP * route.urgency)
    if accepted:
        part = WAITED_PART
    return part * route.objective_s - waited_s
