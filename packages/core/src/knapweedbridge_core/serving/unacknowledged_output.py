"""How long output may stay unacknowledged before its connection is closed.

The kernel closes a connection whose output makes no progress for a time that its user
sets. It does not ask whether the other side is gone, or is there and has stopped
reading. Its counters of transmissions without an answer tell the two apart.
"""

from dataclasses import dataclass

LOST_PEER_TIMEOUT_MS = 2500
"""Time after which a connection to a peer that answers nothing is closed. A device on
the path that has lost track of a connection shows no error by itself."""

PAUSED_READER_TIMEOUT_MS = 60_000
"""Time after which a connection to a peer that answers but reads nothing is closed, as
it takes memory and a descriptor."""

MAX_UNANSWERED = 1
"""Transmissions without an answer of a peer that counts as present: one may be on its
way."""


@dataclass(slots=True, frozen=True)
class UnacknowledgedOutput:
    """The kernel's counters of one connection.

    Parameters
    ----------
    segments : int
        Segments that were sent and are not acknowledged.
    waiting_bytes : int
        Bytes that wait in the kernel to be sent.
    retransmissions : int
        Retransmissions in a row without an acknowledgement.
    probes : int
        Probes of a closed window in a row without an answer.
    """

    segments: int = 0
    waiting_bytes: int = 0
    retransmissions: int = 0
    probes: int = 0

    @property
    def is_pending(self) -> bool:
        """Whether the peer has yet to acknowledge output."""
        return self.segments > 0 or self.waiting_bytes > 0

    @property
    def timeout_ms(self) -> int:
        """Time without progress after which the connection is to be closed."""
        is_answered = max(self.retransmissions, self.probes) <= MAX_UNANSWERED
        if self.is_pending and is_answered:
            return PAUSED_READER_TIMEOUT_MS
        return LOST_PEER_TIMEOUT_MS
