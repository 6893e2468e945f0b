"""Messages by which a caller's daemon gets a slot pinned and lets it go."""

from knapweedbridge_core.codec import message
from knapweedbridge_core.names import AdapterVersion


@message(tag="GrantAsk")
class GrantRequest:
    """A caller's daemon asks an owner for a grant."""

    attempt_id: str
    endpoint: str
    model: AdapterVersion
    priority: str = "normal"
    suspect: bool = False


@message
class GrantGiven:
    """The owner, under its fencing number, pinned the slot for this attempt."""

    attempt_id: str
    endpoint: str
    number: int = 0


@message
class GrantRefused:
    """The adapter is not to be had on this endpoint."""

    attempt_id: str
    endpoint: str
    reason: str


@message
class GrantReturned:
    """The attempt ended; the slot need not be pinned for it."""

    attempt_id: str
    endpoint: str
    model: AdapterVersion
