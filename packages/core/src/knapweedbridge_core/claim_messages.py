"""Messages between a caller's daemon and the coordinator of claims."""

from knapweedbridge_core.codec import message


@message(tag="ClaimAsk")
class ClaimRequest:
    """Asks the coordinator to store a claim."""

    key: str
    token: str
    record: bytes


@message(tag="ClaimAnswered")
class ClaimResponse:
    """The stored record, which is the requester's own if it has the token sent."""

    token: str
    record: bytes


@message
class ClaimEnded:
    """Asks the coordinator to store how a claimed request ended."""

    key: str
    token: str
    record: bytes


@message(tag="ClaimEndKept")
class ClaimEndStored:
    """The end of a claim is stored."""

    token: str
