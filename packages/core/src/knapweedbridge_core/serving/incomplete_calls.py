"""Calls that ended at endpoints without whole answers, and what is held for losses."""

import math
from dataclasses import dataclass, field

from knapweedbridge_core.serving.endpoint_records import EndpointStart
from knapweedbridge_core.serving.suspect_parts import LostCall

LOSS_PROOF_TIMEOUT_S = 6.0
"""Longest time from a call's end to the proof that its endpoint was lost by then. The
entry of an endpoint that is silent lapses after three heartbeats of 1.2 s, is removed
within a second, and a relay tells of it within another."""

VERDICT_TIMEOUT_S = 1.0
"""Longest wait for the proof of a loss."""


@dataclass(slots=True)
class IncompleteCall:
    """A call that ended at a start of an endpoint without a whole answer.

    Parameters
    ----------
    parts : tuple of str
        Marks of the parts of its prompt; empty where its answer had begun.
    sent_s : float
        When it was sent there.
    is_closed : bool
        Whether its connection broke, and the endpoint has not been found alive since.
    is_judged : bool
        Whether nobody waits any more for what became of the endpoint.
    """

    fingerprint: str
    start: EndpointStart
    at_s: float
    parts: tuple[str, ...] = ()
    sent_s: float = -math.inf
    is_closed: bool = True
    is_judged: bool = True

    def is_recent(self, now_s: float) -> bool:
        """Return whether a loss that shows now may have ended it."""
        return now_s - self.at_s <= LOSS_PROOF_TIMEOUT_S

    def is_awaited(self, now_s: float) -> bool:
        """Return whether what became of the endpoint is about to show."""
        return not self.is_judged and now_s - self.at_s < VERDICT_TIMEOUT_S


@dataclass(slots=True)
class LossEvidence:
    """An endpoint's loss, and what is held for it.

    Parameters
    ----------
    at_s : float
        When its first call broke off.
    marks : list of str
        Marks of the calls that are blamed.
    calls : list of LostCall
        Those of them with parts that may have caused it.
    """

    at_s: float
    marks: list[str] = field(default_factory=list)
    calls: list[LostCall] = field(default_factory=list)


def loss_id(start: EndpointStart) -> str:
    """Return what the loss of a start of an endpoint is known by on all hosts."""
    return f"{start.endpoint} {start.started_ms}"
