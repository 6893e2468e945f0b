"""What daemons of other versions understand, while a pool is upgraded host by host.

A daemon says in the store which protocol it speaks; one that says none speaks the
first. From the second on, messages of unknown kinds and fields that were added at the
end of known ones are passed over, so only the kinds that the first does not know are
kept from daemons that speak it.
"""

from knapweedbridge_core.serving.blame_messages import (
    CallsCleared,
    PartsBlamed,
    PartsCleared,
    SuspectsHeld,
)
from knapweedbridge_core.serving.origin_messages import (
    OriginRequest,
    OriginResponse,
    OriginsRecorded,
)
from knapweedbridge_core.serving.permit_messages import CallRejected, CapacityRequest

FIRST_PROTOCOL = 1
PROTOCOL = 5
"""Rises with each kind of message, or meaning of one, that earlier versions lack."""

SINCE: dict[type, int] = {
    CapacityRequest: 2,
    CallRejected: 2,
    OriginsRecorded: 3,
    OriginRequest: 3,
    OriginResponse: 3,
    CallsCleared: 4,
    PartsBlamed: 5,
    PartsCleared: 5,
    SuspectsHeld: 5,
}
"""The protocols that brought kinds of messages; others are of the first."""


def understands(protocol: int, message: object) -> bool:
    """Return whether a daemon that speaks a protocol understands a message."""
    return protocol >= SINCE.get(type(message), FIRST_PROTOCOL)
