"""Messages about requests that crash endpoints, and endpoints that leave."""

from knapweedbridge_core.codec import message


@message(tag="BlameTold")
class SuspectUpdate:
    """State of one loss of an endpoint that ran a suspected request."""

    fingerprint: str
    loss_id: str
    endpoint: str
    state: str
    age_s: float


@message(tag="BlameCleared")
class SuspectCleared:
    """A suspected request got its complete answer."""

    fingerprint: str


@message(tag="LeavingTold")
class LeavingUpdate:
    """Whether an endpoint leaves, as a daemon or an operator (`ordered`) found."""

    endpoint: str
    leaving: bool
    ordered: bool
