"""Messages that warn of requests and endpoints that fail."""

from knapweedbridge_core.codec import message


@message(tag="BlameTold")
class SuspectUpdate:
    """A daemon tells what it holds against a fingerprint."""

    fingerprint: str
    loss_id: str
    endpoint: str
    state: str
    age_s: float


@message(tag="BlameCleared")
class SuspectCleared:
    """A suspected request got its whole answer."""

    fingerprint: str


@message(tag="LeavingTold")
class LeavingUpdate:
    """A daemon saw the sign that an endpoint leaves, or that it stays after all."""

    endpoint: str
    leaving: bool
    ordered: bool
