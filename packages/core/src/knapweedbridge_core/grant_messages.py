"""Messages by which a caller's daemon gets a slot pinned and releases it."""

from knapweedbridge_core.codec import message
from knapweedbridge_core.names import AdapterVersion


@message(tag="GrantAsk")
class GrantRequest:
    """A caller's daemon requests a grant from an owner."""

    attempt_id: str
    endpoint: str
    model: AdapterVersion
    priority: str = "normal"
    suspect: bool = False


@message
class GrantGiven:
    """The owner pinned the slot for this attempt, under its fencing number."""

    attempt_id: str
    endpoint: str
    number: int = 0


@message
class GrantRefused:
    """The owner gives no grant, for the reason named."""

    attempt_id: str
    endpoint: str
    reason: str


@message
class GrantReturned:
    """The attempt ended; its slot need not be pinned any longer."""

    attempt_id: str
    endpoint: str
    model: AdapterVersion
