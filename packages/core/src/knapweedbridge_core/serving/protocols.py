"""Protocol versions of daemons, for rolling upgrades of a pool.

Each daemon publishes its protocol version in the store; one that publishes none speaks
the first. From the second version on, a daemon ignores unknown messages and fields
added at the end of known ones. So only the messages that the first version does not
know are withheld, from daemons that speak it.
"""

from knapweedbridge_core.serving.blame_messages import (
    CallsCleared,
    PartsBlamed,
    PartsCleared,
    SuspectsHeld,
)
from knapweedbridge_core.serving.join_messages import DaemonJoined, JoinAcknowledged
from knapweedbridge_core.serving.origin_messages import (
    OriginRequest,
    OriginResponse,
    OriginsRecorded,
)
from knapweedbridge_core.serving.permit_messages import CallRejected, CapacityRequest

FIRST_PROTOCOL = 1
PROTOCOL = 7
"""Increases with each new message, or new meaning of one."""

BEGIN_ON_RECORDED = 6
"""Protocol version from which on daemons begin streams only on software versions that
the store has recorded."""

INTRODUCED_IN: dict[type, int] = {
    CapacityRequest: 2,
    CallRejected: 2,
    OriginsRecorded: 3,
    OriginRequest: 3,
    OriginResponse: 3,
    CallsCleared: 4,
    PartsBlamed: 5,
    PartsCleared: 5,
    SuspectsHeld: 5,
    DaemonJoined: 7,
    JoinAcknowledged: 7,
}
"""Protocol versions that introduced messages; all others belong to the first."""


def understands(protocol: int, message: object) -> bool:
    """Return whether a daemon that speaks a protocol version knows a message."""
    return protocol >= INTRODUCED_IN.get(type(message), FIRST_PROTOCOL)
