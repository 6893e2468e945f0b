"""Retry rules: whether a request is retried, resumed or failed after an attempt."""

from dataclasses import dataclass, field
from enum import Enum

from knapweedbridge_core.serving.deployment import CallKind, Route

MAX_SENDS = 6
"""Most sends of one request, including those that an endpoint refused to run."""


class AttemptEnd(Enum):
    """How an attempt ended, as far as that is certain.

    ``ANSWERED``: the response was complete.
    ``NOT_RUN``: the endpoint said so, or no byte of the request was written.
    ``FAILED``: the endpoint ran the request and responded with an error of its own.
    ``BROKEN``: the request may have run, but no complete response arrived.
    ``ABANDONED``: the daemon cancelled it, because the caller disconnected or the
    deadline passed. This is no evidence about the endpoint.
    ``WITHHELD``: it was not sent, because the endpoint accepts no requests now.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    FAILED = "failed"
    BROKEN = "broken"
    ABANDONED = "abandoned"
    WITHHELD = "withheld"


@dataclass(slots=True)
class CallProgress:
    """The attempts of one request so far.

    Parameters
    ----------
    runs : set of str
        Endpoints on which the request ran or may have run.
    sends : int
        Attempts that were sent to any endpoint.
    begun : bool
        Whether the caller has received a part of the response.
    """

    runs: set[str] = field(default_factory=set)
    sends: int = 0
    begun: bool = False

    @property
    def may_have_run(self) -> bool:
        """Whether any endpoint may have run the request."""
        return bool(self.runs)


def may_retry(route: Route, progress: CallProgress, end: AttemptEnd) -> bool:
    """Return whether a request may be sent again, leaving aside the retry budget."""
    if progress.sends >= MAX_SENDS:
        return False
    if end is AttemptEnd.NOT_RUN and not progress.may_have_run:
        return True
    if not route.repeatable:
        return False
    return len(progress.runs) < route.max_attempts


def resumes(route: Route, progress: CallProgress) -> bool:
    """Return whether the next endpoint must resume the stream of the last one."""
    return route.kind is CallKind.STREAM and progress.begun


IDLE_ENGINE_TIMEOUT_S = 0.7
"""Timeout for the first event of an idle engine. Processing the longest prompt takes
0.15 s, and callers disconnect from a silent stream after 2 s, so another engine can
still answer in time. With 0.3 s, requests were started twice under load and lost."""

FORECAST_TOLERANCE = 3.0
"""Factor by which an engine's forecast may be exceeded, because the requests of other
daemons become known late."""

PLAIN_PATIENCE = 0.6
"""Timeout of a plain response, as a share of the objective. A retry at a second
endpoint then still meets the objective about half of the time."""


def first_byte_timeout_s(route: Route, reading_s: float) -> float:
    """Return how long to wait for the first byte before retrying elsewhere.

    A response can be lost, or its endpoint unresponsive, while the connection stays
    open. Only requests that may be retried time out this way.

    Parameters
    ----------
    reading_s : float
        Forecast of the time until the endpoint starts on the request.
    """
    if route.kind is CallKind.STREAM:
        return IDLE_ENGINE_TIMEOUT_S + FORECAST_TOLERANCE * reading_s
    return PLAIN_PATIENCE * route.objective_s


URGENCY_STEP = 0.12
"""Share of the objective by which the accepted wait shrinks per urgency rank. If not
all requests can be served in time, the less urgent are rejected first, and requests of
the same rank are treated alike."""

MIN_WAIT_SHARE = 0.5
ACCEPTED_WAIT_SHARE = 1.0
"""Share of the objective that an accepted request may wait. It holds a place in the
queue, the forecast counts it among the requests ahead of itself, and the forecast is
off by some tenths of a second."""


def max_first_event_wait_s(route: Route, waited_s: float, accepted: bool) -> float:
    """Return the longest expected wait for a first event to accept a request with.

    Parameters
    ----------
    waited_s : float
        How long the caller has waited so far.
    accepted : bool
        Whether the request is already in a queue.
    """
    share = max(MIN_WAIT_SHARE, 1.0 - URGENCY_STEP * route.urgency)
    if accepted:
        share = ACCEPTED_WAIT_SHARE
    return share * route.objective_s - waited_s
