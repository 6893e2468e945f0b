"""Requests without a complete response, and the losses they are blamed for."""

import math
from dataclasses import dataclass, field

from knapweedbridge_core.serving.endpoint_records import EndpointStart
from knapweedbridge_core.serving.suspect_parts import LostCall

LOSS_PROOF_TIMEOUT_S = 6.0
"""Longest time from the end of a request to the proof that its endpoint was lost. The
entry of a silent endpoint expires after three heartbeats of 1.2 s, is removed within a
second, and a relay reports the removal within another."""

VERDICT_TIMEOUT_S = 1.0
"""Longest wait of a request for the proof of a loss."""


@dataclass(slots=True)
class IncompleteCall:
    """A request that ended at an endpoint without a complete response.

    Parameters
    ----------
    parts : tuple of str
        Digests of the parts of its prompt; empty if its response had started.
    sent_s : float
        When it was sent there.
    is_closed : bool
        Whether its connection broke, and the endpoint was not found alive since.
    is_judged : bool
        Whether nothing waits any longer to learn if the endpoint was lost.
    """

    fingerprint: str
    start: EndpointStart
    at_s: float
    parts: tuple[str, ...] = ()
    sent_s: float = -math.inf
    is_closed: bool = True
    is_judged: bool = True

    def is_recent(self, now_s: float) -> bool:
        """Return whether a loss that is detected now may have ended it."""
        return now_s - self.at_s <= LOSS_PROOF_TIMEOUT_S

    def is_awaited(self, now_s: float) -> bool:
        """Return whether it is about to be known if the endpoint was lost."""
        return not self.is_judged and now_s - self.at_s < VERDICT_TIMEOUT_S


@dataclass(slots=True)
class LossEvidence:
    """The loss of an endpoint, and the requests blamed for it.

    Parameters
    ----------
    at_s : float
        When its first request broke off.
    marks : list of str
        Fingerprints of the blamed requests.
    calls : list of LostCall
        The blamed requests that have parts which may have caused the loss.
    """

    at_s: float
    marks: list[str] = field(default_factory=list)
    calls: list[LostCall] = field(default_factory=list)


def loss_id(start: EndpointStart) -> str:
    """Return the id of the loss of one start of an endpoint, the same on all hosts."""
    return f"{start.endpoint} {start.started_ms}"
